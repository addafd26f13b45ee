package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Update is what the coordinator reports about backend servers.
type Update struct {
	// Holdings are those that have changed since the last update. The others remain
	// valid, unless Complete is set: then these are all.
	Holdings []Holding
	Complete bool
	// Others counts the requests that each server runs for other instances; nil leaves
	// the last counts valid.
	Others map[names.BackendServer]int
	// Until is when all holdings reported so far expire; from then on the registry
	// counts.
	Until time.Time
}

// Holding is what the coordinator knows of the models and adapters on an engine.
type Holding struct {
	Server names.BackendServer
	// Incarnation is the one of [Server] that the holding belongs to.
	Incarnation int64
	Models      []names.Model
	Adapters    []Adapter
	// Busy reports whether the engine is carrying out an order to load or unload; it
	// accepts no other meanwhile.
	Busy bool
}

// Equal reports whether two holdings are the same.
func (holding *Holding) Equal(other *Holding) bool {
	return holding.Server == other.Server && holding.Incarnation == other.Incarnation && holding.Busy == other.Busy &&
		slices.Equal(holding.Models, other.Models) && slices.Equal(holding.Adapters, other.Adapters)
}
