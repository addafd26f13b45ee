package node

import (
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/elect"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// ownPrefix is the prefix of the system's own keys in the platform's key-value
	// service.
	ownPrefix = "basilkeel/"
	// coordinatorKey is the key of the coordinator's identity.
	coordinatorKey = ownPrefix + "coordinator"
	// sharesKey is the key of the record of entries' shares of client accounts'
	// limits.
	sharesKey = ownPrefix + "shares"
	// suspectsKey is the key of the record of requests that crash backend servers.
	suspectsKey = ownPrefix + "suspects"
)

// policyHandler applies new versions of the policy to the relay.
type policyHandler struct {
	relay *relay.Relay
	pool  *pool.Pool
	clock *clock.Service
	log   logrus.FieldLogger
}

var _ mirror.Handler = (*policyHandler)(nil)

// Replaced implements [mirror.Handler].
func (policyHandler *policyHandler) Replaced(entries []store.Entry) { policyHandler.Changed(entries) }

// Changed implements [mirror.Handler].
func (policyHandler *policyHandler) Changed(entries []store.Entry) {
	for _, entry := range entries {
		if entry.Key() != platform.PolicyKey || entry.Deleted() {
			continue
		}
		snapshot, err := platform.DecodePolicy(entry.Value())
		if err != nil {
			event.PolicyUnread.Log(policyHandler.log, logrus.Fields{"revision": entry.Revision().String(), "cause": err.Error()})
			continue
		}
		if former := policyHandler.relay.Policy(); former != nil && former.Version() >= snapshot.Version() {
			continue
		}
		policyHandler.relay.SetPolicy(snapshot)
		policyHandler.setColdStarts(snapshot)
		event.PolicyInForce.Log(policyHandler.log, logrus.Fields{"policy": snapshot.Version(), "revision": entry.Revision().String()})
	}
}

// setColdStarts applies what the policy declares of cold servers.
func (policyHandler *policyHandler) setColdStarts(snapshot *policy.Snapshot) {
	coldStarts := map[names.Service]pool.ColdStart{}
	for _, service := range snapshot.Services() {
		if service.ColdFault != "" {
			event.ColdStartInvalid.Log(policyHandler.log, logrus.Fields{"service": string(service.Name), "cause": service.ColdFault})
		}
		if service.ColdPerSecond > 0 {
			coldStarts[service.Name] = pool.ColdStart{Span: service.ColdStart, PerSecond: service.ColdPerSecond}
		}
	}
	policyHandler.pool.SetColdStarts(coldStarts, policyHandler.clock.Now())
}

// Lost implements [mirror.Handler].
func (*policyHandler) Lost(time.Time) {}

// Regained implements [mirror.Handler].
func (*policyHandler) Regained(time.Time) {}

// ownKeys follows the system's own keys and stores the record of shares.
type ownKeys struct {
	store        *platform.Store
	limiter      *share.Limiter
	instance     names.Instance
	policy       func() *policy.Snapshot
	clock        *clock.Service
	log          logrus.FieldLogger
	elector      *elect.Elector
	suspectStore *suspectStore
	// mutex guards the fields below.
	mutex  sync.Mutex
	record share.Record
	// recordedAt is when this process first had the record, which was stored before.
	recordedAt time.Time
	revision   store.Revision
}

var (
	_ mirror.Handler   = (*ownKeys)(nil)
	_ coord.ShareStore = (*ownKeys)(nil)
)

func newOwnKeys(self *relaySelf, platformStore *platform.Store, suspectStore *suspectStore, limiter *share.Limiter, relay *relay.Relay, clock *clock.Service, log logrus.FieldLogger) *ownKeys {
	return &ownKeys{
		store: platformStore, limiter: limiter, instance: self.instance, policy: relay.Policy, clock: clock, log: log, record: share.Record{}, suspectStore: suspectStore,
	}
}

// LastRecord implements [coord.ShareStore].
func (ownKeys *ownKeys) LastRecord() share.Record {
	ownKeys.mutex.Lock()
	defer ownKeys.mutex.Unlock()
	return ownKeys.record.Aged(ownKeys.clock.Now().Sub(ownKeys.recordedAt))
}

// StoreShares implements [coord.ShareStore].
func (ownKeys *ownKeys) StoreShares(ctx context.Context, record share.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	ownKeys.mutex.Lock()
	expected := ownKeys.revision
	ownKeys.mutex.Unlock()
	revision, err := ownKeys.store.Swap(ctx, store.Swap{Key: sharesKey, Expected: expected, Value: data})
	if err != nil {
		return err
	}
	ownKeys.mutex.Lock()
	defer ownKeys.mutex.Unlock()
	if revision > ownKeys.revision {
		ownKeys.record, ownKeys.revision, ownKeys.recordedAt = record, revision, ownKeys.clock.Now()
	}
	return nil
}

// setRecord decodes and stores a newer record of shares. A record that cannot be
// decoded counts as empty.
func (ownKeys *ownKeys) setRecord(entry store.Entry) {
	record, err := share.DecodeRecord(entry.Value())
	if err != nil {
		event.SharesUnread.Log(ownKeys.log, logrus.Fields{"revision": entry.Revision().String(), "cause": err.Error()})
		record = share.Record{}
	}
	ownKeys.mutex.Lock()
	defer ownKeys.mutex.Unlock()
	if entry.Revision() > ownKeys.revision {
		ownKeys.record, ownKeys.revision, ownKeys.recordedAt = record, entry.Revision(), ownKeys.clock.Now()
	}
}

// restoreLimiter makes the limiter use the recorded share of this instance until
// a coordinator answers.
func (ownKeys *ownKeys) restoreLimiter() {
	ownKeys.mutex.Lock()
	own, found := ownKeys.record[ownKeys.instance]
	ownKeys.mutex.Unlock()
	if found {
		ownKeys.limiter.Restore(own, ownKeys.policy(), ownKeys.clock.Now())
	}
}

// Replaced implements [mirror.Handler].
func (ownKeys *ownKeys) Replaced(entries []store.Entry) {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Key()] = true
	}
	ownKeys.Changed(entries)
	ownKeys.restoreLimiter()
	for _, key := range []string{sharesKey, suspectsKey, coordinatorKey} {
		if !listed[key] {
			ownKeys.remove(key)
		}
	}
}

// remove processes the removal of a key.
func (ownKeys *ownKeys) remove(key string) {
	switch key {
	case sharesKey:
		// The record itself stays in use until another one is written.
		ownKeys.mutex.Lock()
		defer ownKeys.mutex.Unlock()
		ownKeys.revision = 0
	case suspectsKey:
		ownKeys.suspectStore.setRevision(0)
	case coordinatorKey:
		ownKeys.elector.ObserveLeader(elect.Leader{})
	}
}

// Changed implements [mirror.Handler].
func (ownKeys *ownKeys) Changed(entries []store.Entry) {
	for _, entry := range entries {
		switch {
		case entry.Deleted():
			ownKeys.remove(entry.Key())
		case entry.Key() == sharesKey:
			ownKeys.setRecord(entry)
		case entry.Key() == suspectsKey:
			ownKeys.suspectStore.applyRecord(entry)
		case entry.Key() == coordinatorKey:
			ownKeys.elector.ObserveLeader(elect.Leader{Term: entry.Revision(), Value: string(entry.Value())})
		}
	}
}

// Lost implements [mirror.Handler].
func (*ownKeys) Lost(time.Time) {}

// Regained implements [mirror.Handler].
func (*ownKeys) Regained(time.Time) {}

// mirrorParts are the dependencies of the mirror of the platform's key-value
// service.
type mirrorParts struct {
	fx.In

	Store   *platform.Store
	Relay   *relay.Relay
	Pool    *pool.Pool
	OwnKeys *ownKeys
	// Evacuations applies operators' requests to evacuate failure domains.
	Evacuations *evacuationHandler
	Clock       *clock.Service
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
}

// newMirror follows all keys with a single watch: their revisions then have no
// gaps, so that a stalled watch can be distinguished from a time without changes.
func newMirror(parts mirrorParts) *mirror.Mirror {
	registryHandler := newRegistryHandler(parts.Pool, parts.Clock, parts.Log)
	registryHandler.metrics = parts.Metrics
	handlers := mirror.PrefixHandlers{
		{Prefix: platform.PolicyKey, Handler: &policyHandler{relay: parts.Relay, pool: parts.Pool, clock: parts.Clock, log: parts.Log}},
		{Prefix: ownPrefix, Handler: parts.OwnKeys},
	}
	handlers = append(evacuationPrefixes(parts.Evacuations, registryHandler), handlers...)
	return mirror.New(mirror.Config{Source: parts.Store, Clock: parts.Clock, Log: parts.Log, Handler: handlers})
}

// platformFollowerParts are the dependencies of followPlatform.
type platformFollowerParts struct {
	fx.In

	Mirror  *mirror.Mirror
	Elector *elect.Elector
	OwnKeys *ownKeys
}

// followPlatform keeps the policy, the registry and the system's own keys up to
// date while the process runs.
func followPlatform(lifecycle fx.Lifecycle, parts platformFollowerParts) {
	ctx, cancel := context.WithCancel(context.Background())
	parts.OwnKeys.elector = parts.Elector
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { parts.Mirror.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}
