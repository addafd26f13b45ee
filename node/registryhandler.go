package node

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/store"
)

// removalLifetime is how long it is remembered that a server's entry was removed. A copy
// from which the service is restored is some seconds old.
const removalLifetime = time.Minute

// registryHandler updates the pool of backend servers from the registry.
type registryHandler struct {
	pool  *pool.Pool
	clock *clock.Service
	log   logrus.FieldLogger
	// metrics is nil for the default registry.
	metrics metrics.Registry
	// known maps each server with an entry to what was logged of it.
	known map[names.BackendServer]listing
	// removed holds the servers whose entries were removed lately.
	removed map[names.BackendServer]removal
	// outdated maps the servers whose entries are ignored, as they had been removed or
	// replaced before the service was restored, to the revisions of these entries.
	outdated map[names.BackendServer]store.Revision
	// era is the era of the entries read last.
	era store.Era
}

// listing is what is logged of a server's entry. A server writes its entry every 1.2 s, mostly
// without a change of these.
type listing struct {
	service     names.Service
	address     string
	incarnation int64
	draining    bool
	models      int
}

// removal is what is known of a server whose entry was removed.
type removal struct {
	incarnation int64
	at          time.Time
}

var _ mirror.Handler = (*registryHandler)(nil)

func newRegistryHandler(servers *pool.Pool, clock *clock.Service, log logrus.FieldLogger) *registryHandler {
	return &registryHandler{
		pool: servers, clock: clock, log: log,
		known: map[names.BackendServer]listing{}, removed: map[names.BackendServer]removal{}, outdated: map[names.BackendServer]store.Revision{},
	}
}

// Replaced implements [mirror.Handler].
func (registryHandler *registryHandler) Replaced(entries []store.Entry) {
	restored := registryHandler.enterEra(entries)
	now := registryHandler.clock.Now()
	if restored {
		// Servers that registered after the copy was made are back soon.
		registryHandler.pool.RegistryLost(now)
	}
	listed := map[names.BackendServer]bool{}
	for _, entry := range entries {
		listed[platform.ServerID(entry.Key())] = true
	}
	for id := range registryHandler.known {
		if !listed[id] {
			registryHandler.remove(id)
		}
	}
	for _, entry := range entries {
		registryHandler.put(entry, restored)
	}
	if restored {
		registryHandler.pool.RegistryRecovered(now)
	}
	registryHandler.pool.RegistryRead()
}

// enterEra records the era of entries and reports whether the service was restored since
// entries were read last.
func (registryHandler *registryHandler) enterEra(entries []store.Entry) bool {
	former := registryHandler.era
	for _, entry := range entries {
		registryHandler.era = max(registryHandler.era, entry.Revision().Era())
	}
	return registryHandler.era > former && len(registryHandler.known) > 0
}

// Changed implements [mirror.Handler].
func (registryHandler *registryHandler) Changed(entries []store.Entry) {
	for _, entry := range entries {
		if entry.Deleted() {
			registryHandler.remove(platform.ServerID(entry.Key()))
			continue
		}
		registryHandler.put(entry, false)
	}
}

// put processes a server's entry. If restored is set, the entry may be that of a server
// that has left since.
func (registryHandler *registryHandler) put(entry store.Entry, restored bool) {
	id := platform.ServerID(entry.Key())
	if revision, found := registryHandler.outdated[id]; found && revision == entry.Revision() {
		return
	}
	delete(registryHandler.outdated, id)
	server, err := platform.DecodeServer(entry.Key(), entry.Value())
	if err != nil {
		event.ServerEntryUnread.Log(registryHandler.log, logrus.Fields{"server": string(id), "cause": err.Error()})
		delete(registryHandler.known, id)
		registryHandler.pool.Reject(id, registryHandler.clock.Now())
		return
	}
	if restored && registryHandler.hasEnded(id, server.Incarnation) {
		registryHandler.outdated[id] = entry.Revision()
		return
	}
	server.ListedAt = registryHandler.clock.Now()
	if server.ColdFault != "" {
		metrics.GetOrRegisterCounter(coldIgnoredMetric, registryHandler.metrics).Inc(1)
		event.ColdLeftInvalid.Log(registryHandler.log, logrus.Fields{"server": string(id), "cause": server.ColdFault})
	}
	registryHandler.pool.Put(server)
	registryHandler.record(server, entry.Revision())
}

// record records what a server's entry states, and logs it if it is new or has changed.
func (registryHandler *registryHandler) record(server *pool.Server, revision store.Revision) {
	current := listing{
		service: server.Service, address: server.Address, incarnation: server.Incarnation, draining: server.Draining, models: len(server.Models),
	}
	if former, found := registryHandler.known[server.ID]; found && former == current {
		return
	}
	registryHandler.known[server.ID] = current
	event.ServerListed.Log(registryHandler.log, logrus.Fields{
		"server": string(server.ID), "service": string(server.Service), "address": server.Address, "draining": server.Draining,
		"models": len(server.Models), "revision": revision.String(),
	})
}

// hasEnded reports whether an incarnation of a server is known to have been removed or
// replaced by another one.
func (registryHandler *registryHandler) hasEnded(id names.BackendServer, incarnation int64) bool {
	if known, found := registryHandler.known[id]; found {
		return known.incarnation != incarnation
	}
	removed, found := registryHandler.removed[id]
	return found && removed.incarnation == incarnation
}

// remove processes the removal of a server's entry.
func (registryHandler *registryHandler) remove(id names.BackendServer) {
	delete(registryHandler.outdated, id)
	former, known := registryHandler.known[id]
	if !known {
		return
	}
	now := registryHandler.clock.Now()
	delete(registryHandler.known, id)
	for each, removed := range registryHandler.removed {
		if now.Sub(removed.at) > removalLifetime {
			delete(registryHandler.removed, each)
		}
	}
	registryHandler.removed[id] = removal{incarnation: former.incarnation, at: now}
	registryHandler.pool.Remove(id, now)
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
