package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Update is what the coordinator tells of servers.
type Update struct {
	// Holdings are those that have changed; what was told before of other servers
	// stays in force, unless Whole says that these are all.
	Holdings []Holding
	Complete bool
	// Others is how many requests of other instances servers run; nil leaves what was
	// told before in force.
	Others map[names.BackendServer]int
	// Until is when holdings told so far give way to the registry.
	Until time.Time
}

// Holding is what the coordinator knows of a server's models.
type Holding struct {
	Server names.BackendServer
	// Incarnation names the incarnation that this belongs to.
	Incarnation int64
	Models      []names.Model
	Adapters    []Adapter
	// Busy engines carry out an order and take no others.
	Busy bool
}

// Equal tells whether two holdings say the same.
func (holding *Holding) Equal(other *Holding) bool {
	return holding.Server == other.Server && holding.Incarnation == other.Incarnation && holding.Busy == other.Busy &&
		slices.Equal(holding.Models, other.Models) && slices.Equal(holding.Adapters, other.Adapters)
}
