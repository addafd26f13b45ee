package place

import "github.com/basilkeel/basilkeel/config"

// Input is the input of one step of a [Planner].
type Input struct {
	// Models lists the configured models.
	Models []config.Model
	// Servers lists the backend servers with a model engine in the membership
	// list.
	Servers []Server
	// Demands lists the models with demand.
	Demands []Demand
}
