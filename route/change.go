package route

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Change reports that a server was ejected or restored.
type Change struct {
	Server names.BackendServer
	// Ejected is true if the server gets no requests, except for a probe after
	// Until; false if it was restored.
	Ejected bool
	Until   time.Time
}

// Changes returns the changes since the last call, for logs and metrics. At
// most maxChanges are kept; later ones are dropped.
func (router *Router) Changes() []Change {
	changes := router.changes
	router.changes = nil
	return changes
}

// maxChanges bounds the changes kept for a caller that never reads them.
const maxChanges = 64

func (router *Router) eject(now time.Time, server *server) {
	server.eject(now)
	router.recordChange(Change{Server: server.name, Ejected: true, Until: server.ejectedUntil})
}

func (router *Router) restore(server *server) {
	server.restore()
	router.recordChange(Change{Server: server.name})
}

func (router *Router) recordChange(change Change) {
	if len(router.changes) < maxChanges {
		router.changes = append(router.changes, change)
	}
}
