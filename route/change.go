package route

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Change tells that a server was set aside or taken into use again.
type Change struct {
	Server names.BackendServer
	// Ejected tells that the server is not used but for a probe after Until.
	Ejected bool
	Until   time.Time
}

// Changes returns what changed since the last call, for logs and metrics. At
// most maxChanges are kept.
func (router *Router) Changes() []Change {
	changes := router.changes
	router.changes = nil
	return changes
}

// maxChanges bounds the changes kept for a shell that doesn't ask.
const maxChanges = 64

func (router *Router) setAside(now time.Time, server *server) {
	server.setAside(now)
	router.note(Change{Server: server.name, Ejected: true, Until: server.until})
}

func (router *Router) restore(server *server) {
	server.restore()
	router.note(Change{Server: server.name})
}

func (router *Router) note(change Change) {
	if len(router.changes) < maxChanges {
		router.changes = append(router.changes, change)
	}
}
