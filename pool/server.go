package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Server is the registry's entry of a backend server. It is immutable.
type Server struct {
	ID      names.BackendServer
	Service names.Service
	Address string
	Domain  names.FailureDomain
	// Slots is how many requests the server runs at once.
	Slots int
	// Draining reports whether the server accepts no new requests.
	Draining bool
	// Remaining is how long a draining server keeps running; zero means unknown.
	Remaining time.Duration
	// Incarnation is the server's start time as the registry states it. A new value
	// means that the server has restarted and lost its state.
	Incarnation int64
	// Models and Adapters are those that a model engine holds.
	Models   []names.Model
	Adapters []Adapter
	// InMemory and OnDisk are the models whose weights are in the engine's host memory
	// and on its disk.
	InMemory []names.Model
	OnDisk   []names.Model
	// ColdLeft is how long the server remained cold when it wrote the entry. It is valid
	// only if ColdStated is set. ListedAt is when this process read the entry.
	ColdLeft   time.Duration
	ColdStated bool
	ListedAt   time.Time
	// ColdFault says why the entry's cold time is ignored, or is empty.
	ColdFault string
}

// Adapter identifies an adapter and the model that it belongs to.
type Adapter struct {
	Model names.Model
	Name  names.Adapter
}

// HasModel reports whether the server holds a model.
func (server *Server) HasModel(model names.Model) bool { return slices.Contains(server.Models, model) }

// HasAdapter reports whether the server holds an adapter.
func (server *Server) HasAdapter(adapter Adapter) bool {
	return slices.Contains(server.Adapters, adapter)
}
