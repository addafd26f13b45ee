package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Server is what the registry says of a backend server. It is immutable.
type Server struct {
	ID      names.BackendServer
	Service names.Service
	Address string
	Domain  names.FailureDomain
	// Slots is how many requests the server runs at once.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// Remaining is how long a draining server keeps running; zero means not told.
	Remaining time.Duration
	// Incarnation is the start of the server; another one means that it has lost all.
	Incarnation int64
	// Models and Adapters are what a model engine holds.
	Models   []names.Model
	Adapters []Adapter
	// InMemory and OnDisk are the models whose weights the engine has at hand.
	InMemory []names.Model
	OnDisk   []names.Model
}

// Adapter is an adapter with the model it belongs to.
type Adapter struct {
	Model names.Model
	Name  names.Adapter
}

// HasModel tells whether the server holds a model.
func (server *Server) HasModel(model names.Model) bool { return slices.Contains(server.Models, model) }

// HasAdapter tells whether the server holds an adapter.
func (server *Server) HasAdapter(adapter Adapter) bool {
	return slices.Contains(server.Adapters, adapter)
}
