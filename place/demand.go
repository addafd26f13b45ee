package place

import "github.com/basilkeel/basilkeel/names"

// Demand is the rate at which callers request tokens of one model.
type Demand struct {
	Model           names.Model
	TokensPerSecond float64
	// Adapters is the rate of each adapter; requests without one are left out.
	Adapters map[names.Adapter]float64
	// WorstAttainment is the fraction of requested tokens, from zero to one,
	// that was served to the worst-served client account using the model.
	WorstAttainment float64
}
