package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/store"
)

// registryHandler updates the pool of backend servers from the registry.
type registryHandler struct {
	pool  *pool.Pool
	clock *clock.Service
	log   logrus.FieldLogger
	known map[names.BackendServer]bool
}

var _ mirror.Handler = (*registryHandler)(nil)

func newRegistryHandler(servers *pool.Pool, clock *clock.Service, log logrus.FieldLogger) *registryHandler {
	return &registryHandler{pool: servers, clock: clock, log: log, known: map[names.BackendServer]bool{}}
}

// Replaced implements [mirror.Handler].
func (registryHandler *registryHandler) Replaced(entries []store.Entry) {
	listed := map[names.BackendServer]bool{}
	for _, entry := range entries {
		listed[platform.ServerID(entry.Key())] = true
	}
	for id := range registryHandler.known {
		if !listed[id] {
			registryHandler.remove(id)
		}
	}
	registryHandler.Changed(entries)
}

// Changed implements [mirror.Handler].
func (registryHandler *registryHandler) Changed(entries []store.Entry) {
	for _, entry := range entries {
		id := platform.ServerID(entry.Key())
		if entry.Deleted() {
			registryHandler.remove(id)
			continue
		}
		server, err := platform.DecodeServer(entry.Key(), entry.Value())
		if err != nil {
			event.ServerEntryUnread.Log(registryHandler.log, logrus.Fields{"server": string(id), "cause": err.Error()})
			delete(registryHandler.known, id)
			registryHandler.pool.Reject(id, registryHandler.clock.Now())
			continue
		}
		registryHandler.known[id] = true
		registryHandler.pool.Put(server)
		event.ServerListed.Log(registryHandler.log, logrus.Fields{
			"server": string(id), "service": string(server.Service), "address": server.Address, "draining": server.Draining,
			"models": len(server.Models), "revision": entry.Revision().String(),
		})
	}
}

func (registryHandler *registryHandler) remove(id names.BackendServer) {
	if !registryHandler.known[id] {
		return
	}
	delete(registryHandler.known, id)
	registryHandler.pool.Remove(id, registryHandler.clock.Now())
	event.ServerUnlisted.Log(registryHandler.log, logrus.Fields{"server": string(id)})
}

// Lost implements [mirror.Handler].
func (registryHandler *registryHandler) Lost(since time.Time) {
	registryHandler.pool.RegistryLost(since)
}

// Regained implements [mirror.Handler].
func (registryHandler *registryHandler) Regained(at time.Time) {
	registryHandler.pool.RegistryRecovered(at)
}
