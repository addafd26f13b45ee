package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// evacuationRetention is how long an evacuation outlasts a restoration of the service
	// from a copy that lacks its key. Operators write a lost key again within that time;
	// the service has no event for the removal of a key that it has lost.
	evacuationRetention = time.Minute
	// maxLoggedNameBytes bounds what is logged of a name that is not a failure domain.
	maxLoggedNameBytes = 200
)

// evacuationHandler applies operators' requests to evacuate failure domains to the pool. It
// precedes the registry's handler, so that no server of an evacuated domain is ever listed
// as usable, and is given all keys: after a restoration that has lost all evacuations, only
// other keys show the era.
type evacuationHandler struct {
	pool    *pool.Pool
	clock   *clock.Service
	log     logrus.FieldLogger
	metrics metrics.Registry
	// domains are those that the settings name.
	domains map[names.FailureDomain]struct{}
	// mutex guards all below.
	mutex sync.Mutex
	// requested are the domains whose keys exist. retained maps those whose keys were lost
	// in a restoration to the end of their evacuation.
	requested map[names.FailureDomain]struct{}
	retained  map[names.FailureDomain]time.Time
	// announced are the evacuated domains, and ignored the unknown ones, that have been
	// logged.
	announced map[names.FailureDomain]struct{}
	ignored   map[names.FailureDomain]struct{}
	// loaded reports whether all keys have been read, and era is the latest era of a key.
	loaded bool
	era    store.Era
	// lost reports whether the service does not answer, so that nobody can write a key.
	lost bool
}

var _ mirror.Handler = (*evacuationHandler)(nil)

// evacuationParts are the dependencies of an evacuationHandler.
type evacuationParts struct {
	fx.In

	Host    *setup.Host
	Pool    *pool.Pool
	Clock   *clock.Service
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

func newEvacuationHandler(parts evacuationParts) *evacuationHandler {
	handler := &evacuationHandler{
		pool: parts.Pool, clock: parts.Clock, log: parts.Log, metrics: parts.Metrics,
		domains:   map[names.FailureDomain]struct{}{names.FailureDomain(parts.Host.Domain): {}},
		requested: map[names.FailureDomain]struct{}{}, retained: map[names.FailureDomain]time.Time{},
		announced: map[names.FailureDomain]struct{}{}, ignored: map[names.FailureDomain]struct{}{},
	}
	for domain := range parts.Host.Regions {
		handler.domains[names.FailureDomain(domain)] = struct{}{}
	}
	return handler
}

// Replaced implements [mirror.Handler].
func (evacuationHandler *evacuationHandler) Replaced(entries []store.Entry) {
	evacuationHandler.mutex.Lock()
	defer evacuationHandler.mutex.Unlock()
	// A service without any key has lost its data as well.
	restored := evacuationHandler.enterEra(entries) || len(entries) == 0
	former := evacuationHandler.requested
	evacuationHandler.requested = map[names.FailureDomain]struct{}{}
	for _, entry := range entries {
		evacuationHandler.put(entry)
	}
	now := evacuationHandler.clock.Now()
	for domain := range former {
		if _, listed := evacuationHandler.requested[domain]; listed || !restored {
			continue
		}
		evacuationHandler.retained[domain] = now.Add(evacuationRetention)
		event.EvacuationRetained.Log(evacuationHandler.log, logrus.Fields{"zone": loggedName(domain), "seconds": evacuationRetention.Seconds()})
	}
	evacuationHandler.apply(now)
}

// Changed implements [mirror.Handler].
func (evacuationHandler *evacuationHandler) Changed(entries []store.Entry) {
	evacuationHandler.mutex.Lock()
	defer evacuationHandler.mutex.Unlock()
	changed := false
	for _, entry := range entries {
		changed = evacuationHandler.put(entry) || changed
	}
	if changed {
		evacuationHandler.apply(evacuationHandler.clock.Now())
	}
}

// put processes a key that was written or removed, and reports whether it is one of an
// evacuation. It is called with the mutex held.
func (evacuationHandler *evacuationHandler) put(entry store.Entry) bool {
	if !strings.HasPrefix(entry.Key(), platform.EvacuationPrefix) {
		return false
	}
	domain := platform.EvacuatedDomain(entry.Key())
	delete(evacuationHandler.retained, domain)
	if entry.Deleted() {
		delete(evacuationHandler.requested, domain)
	} else {
		evacuationHandler.requested[domain] = struct{}{}
	}
	return true
}

// enterEra records the era of keys and reports whether the service was restored since all
// keys were read last. It is called with the mutex held.
func (evacuationHandler *evacuationHandler) enterEra(entries []store.Entry) bool {
	former := evacuationHandler.era
	for _, entry := range entries {
		evacuationHandler.era = max(evacuationHandler.era, entry.Revision().Era())
	}
	return evacuationHandler.era > former
}

// apply passes the evacuated domains to the pool. It is called with the mutex held.
func (evacuationHandler *evacuationHandler) apply(now time.Time) {
	domains := slices.Collect(maps.Keys(evacuationHandler.requested))
	evacuationHandler.pool.SetEvacuated(slices.AppendSeq(domains, maps.Keys(evacuationHandler.retained)), now)
}

// expire ends the evacuations whose keys were lost long ago, and logs what has changed.
func (evacuationHandler *evacuationHandler) expire(now time.Time) {
	evacuationHandler.mutex.Lock()
	defer evacuationHandler.mutex.Unlock()
	if !evacuationHandler.loaded {
		return
	}
	before := len(evacuationHandler.retained)
	maps.DeleteFunc(evacuationHandler.retained, func(_ names.FailureDomain, until time.Time) bool {
		return !evacuationHandler.lost && !now.Before(until)
	})
	if len(evacuationHandler.retained) < before {
		evacuationHandler.apply(now)
	}
	evacuationHandler.report(now)
}

// report logs the evacuations that have begun or ended and the names that are those of no
// known failure domain. It is called with the mutex held.
func (evacuationHandler *evacuationHandler) report(now time.Time) {
	evacuated := maps.Clone(evacuationHandler.requested)
	for domain := range evacuationHandler.retained {
		evacuated[domain] = struct{}{}
	}
	servers := map[names.FailureDomain]int{}
	if len(evacuated) > 0 {
		for _, server := range evacuationHandler.pool.Servers(now) {
			servers[server.Domain]++
		}
	}
	for domain := range evacuationHandler.announced {
		if _, still := evacuated[domain]; !still {
			delete(evacuationHandler.announced, domain)
			event.ZoneReturned.Log(evacuationHandler.log, logrus.Fields{"zone": loggedName(domain)})
		}
	}
	maps.DeleteFunc(evacuationHandler.ignored, func(domain names.FailureDomain, _ struct{}) bool {
		_, still := evacuated[domain]
		return !still
	})
	for domain := range evacuated {
		_, named := evacuationHandler.domains[domain]
		known := domain != "" && (named || servers[domain] > 0)
		_, announced := evacuationHandler.announced[domain]
		_, ignored := evacuationHandler.ignored[domain]
		switch {
		case known && !announced:
			evacuationHandler.announced[domain] = struct{}{}
			delete(evacuationHandler.ignored, domain)
			event.ZoneEvacuated.Log(evacuationHandler.log, logrus.Fields{"zone": loggedName(domain), "servers": servers[domain]})
		case !known && !announced && !ignored:
			evacuationHandler.ignored[domain] = struct{}{}
			event.EvacuationIgnored.Log(evacuationHandler.log, logrus.Fields{"zone": loggedName(domain)})
		}
	}
	metrics.GetOrRegisterGauge("evacuation.zones", evacuationHandler.metrics).Update(int64(len(evacuationHandler.announced)))
}

// loggedName returns what is logged of a failure domain's name.
func loggedName(domain names.FailureDomain) string {
	if len(domain) <= maxLoggedNameBytes {
		return string(domain)
	}
	return strings.ToValidUTF8(string(domain[:maxLoggedNameBytes]), "") + "..."
}

// Lost implements [mirror.Handler]. The last known evacuations stay in force.
func (evacuationHandler *evacuationHandler) Lost(time.Time) {
	evacuationHandler.mutex.Lock()
	defer evacuationHandler.mutex.Unlock()
	evacuationHandler.lost = true
}

// Regained implements [mirror.Handler]. The time to write lost keys again begins anew.
func (evacuationHandler *evacuationHandler) Regained(time.Time) {
	evacuationHandler.mutex.Lock()
	defer evacuationHandler.mutex.Unlock()
	evacuationHandler.lost = false
	until := evacuationHandler.clock.Now().Add(evacuationRetention)
	for domain := range evacuationHandler.retained {
		evacuationHandler.retained[domain] = until
	}
}

// evacuationReporter logs evacuations. It follows the registry's handler, as the registry
// tells which names are those of failure domains.
type evacuationReporter struct{ handler *evacuationHandler }

var _ mirror.Handler = evacuationReporter{}

// Replaced implements [mirror.Handler].
func (reporter evacuationReporter) Replaced([]store.Entry) {
	reporter.handler.mutex.Lock()
	defer reporter.handler.mutex.Unlock()
	reporter.handler.loaded = true
	reporter.handler.report(reporter.handler.clock.Now())
}

// Changed implements [mirror.Handler].
func (reporter evacuationReporter) Changed(entries []store.Entry) { reporter.Replaced(entries) }

// Lost implements [mirror.Handler].
func (evacuationReporter) Lost(time.Time) {}

// Regained implements [mirror.Handler].
func (evacuationReporter) Regained(time.Time) {}

// evacuationPrefixes returns the handlers of evacuations and of the registry in the order
// in which they have to be called.
func evacuationPrefixes(handler *evacuationHandler, registry mirror.Handler) mirror.PrefixHandlers {
	return mirror.PrefixHandlers{
		{Prefix: "", Handler: handler},
		{Prefix: platform.RegistryPrefix, Handler: registry},
		{Prefix: platform.EvacuationPrefix, Handler: evacuationReporter{handler: handler}},
	}
}

// expireEvacuations ends evacuations whose keys were lost while the process runs.
func expireEvacuations(lifecycle fx.Lifecycle, handler *evacuationHandler, clock *clock.Service) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			clock.Subscribe(ctx, sweepPeriod, func(_ context.Context, now time.Time) { handler.expire(now) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
