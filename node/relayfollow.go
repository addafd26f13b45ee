package node

import (
	"context"
	"sync"
	"time"

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
	// ownPrefix holds what the system itself keeps in the platform's service.
	ownPrefix = "basilkeel/"
	// coordinatorKey names the entry that coordinates.
	coordinatorKey = ownPrefix + "coordinator"
	// sharesKey holds the record of shares of client accounts' limits.
	sharesKey = ownPrefix + "shares"
	// suspectsKey holds the record of requests that crash backend servers.
	suspectsKey = ownPrefix + "suspects"
)

// policyOwner puts configurations in force.
type policyOwner struct {
	relay *relay.Relay
	log   logrus.FieldLogger
}

var _ mirror.Handler = (*policyOwner)(nil)

// Replaced implements [mirror.Handler].
func (owner *policyOwner) Replaced(entries []store.Entry) { owner.Changed(entries) }

// Changed implements [mirror.Handler].
func (owner *policyOwner) Changed(entries []store.Entry) {
	for _, entry := range entries {
		if entry.Key() != platform.PolicyKey || entry.Deleted() {
			continue
		}
		snapshot, err := platform.DecodePolicy(entry.Value())
		if err != nil {
			event.PolicyUnread.Log(owner.log, logrus.Fields{"revision": int64(entry.Revision()), "cause": err.Error()})
			continue
		}
		if former := owner.relay.Policy(); former != nil && former.Version() >= snapshot.Version() {
			continue
		}
		owner.relay.SetPolicy(snapshot)
		event.PolicyInForce.Log(owner.log, logrus.Fields{"policy": snapshot.Version(), "revision": int64(entry.Revision())})
	}
}

// Lost implements [mirror.Handler].
func (*policyOwner) Lost(time.Time) {}

// Regained implements [mirror.Handler].
func (*policyOwner) Regained(time.Time) {}

// registryOwner keeps the pool of backend servers.
type registryOwner struct {
	pool  *pool.Pool
	clock *clock.Service
	log   logrus.FieldLogger
	known map[names.BackendServer]bool
}

var _ mirror.Handler = (*registryOwner)(nil)

// Replaced implements [mirror.Handler].
func (owner *registryOwner) Replaced(entries []store.Entry) {
	listed := map[names.BackendServer]bool{}
	for _, entry := range entries {
		listed[platform.ServerID(entry.Key())] = true
	}
	for id := range owner.known {
		if !listed[id] {
			owner.remove(id)
		}
	}
	owner.Changed(entries)
}

// Changed implements [mirror.Handler].
func (owner *registryOwner) Changed(entries []store.Entry) {
	for _, entry := range entries {
		id := platform.ServerID(entry.Key())
		if entry.Deleted() {
			owner.remove(id)
			continue
		}
		server, err := platform.DecodeServer(entry.Key(), entry.Value())
		if err != nil {
			event.ServerEntryUnread.Log(owner.log, logrus.Fields{"server": string(id), "cause": err.Error()})
			owner.remove(id)
			continue
		}
		owner.known[id] = true
		owner.pool.Put(server)
		event.ServerListed.Log(owner.log, logrus.Fields{
			"server": string(id), "service": string(server.Service), "address": server.Address, "draining": server.Draining,
			"models": len(server.Models), "revision": int64(entry.Revision()),
		})
	}
}

func (owner *registryOwner) remove(id names.BackendServer) {
	if !owner.known[id] {
		return
	}
	delete(owner.known, id)
	owner.pool.Remove(id, owner.clock.Now())
	event.ServerUnlisted.Log(owner.log, logrus.Fields{"server": string(id)})
}

// Lost implements [mirror.Handler].
func (owner *registryOwner) Lost(since time.Time) { owner.pool.RegistryLost(since) }

// Regained implements [mirror.Handler].
func (owner *registryOwner) Regained(at time.Time) { owner.pool.RegistryRecovered(at) }

// members follows what the system keeps for itself, and keeps the record of
// shares.
type members struct {
	store    *platform.Store
	holder   *share.Limiter
	instance names.Instance
	policy   func() *policy.Snapshot
	clock    *clock.Service
	log      logrus.FieldLogger
	elector  *elect.Elector
	suspects *suspects
	// mutex guards all below.
	mutex    sync.Mutex
	record   share.Record
	revision store.Revision
}

var (
	_ mirror.Handler   = (*members)(nil)
	_ coord.ShareStore = (*members)(nil)
)

func newMembers(self *relaySelf, platformStore *platform.Store, suspects *suspects, limiter *share.Limiter, relay *relay.Relay, clock *clock.Service, log logrus.FieldLogger) *members {
	return &members{
		store: platformStore, holder: limiter, instance: self.instance, policy: relay.Policy, clock: clock, log: log, record: share.Record{}, suspects: suspects,
	}
}

// LastRecord implements [coord.ShareStore].
func (members *members) LastRecord() share.Record {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.record
}

// StoreShares implements [coord.ShareStore].
func (members *members) StoreShares(ctx context.Context, record share.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	members.mutex.Lock()
	expected := members.revision
	members.mutex.Unlock()
	revision, err := members.store.Swap(ctx, store.Swap{Key: sharesKey, Expected: expected, Value: data})
	if err != nil {
		return err
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if revision > members.revision {
		members.record, members.revision = record, revision
	}
	return nil
}

// recorded takes in the record.
func (members *members) recorded(entry store.Entry) {
	record, err := share.DecodeRecord(entry.Value())
	if err != nil {
		event.SharesUnread.Log(members.log, logrus.Fields{"revision": int64(entry.Revision()), "cause": err.Error()})
		record = share.Record{}
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if entry.Revision() > members.revision {
		members.record, members.revision = record, entry.Revision()
	}
}

// begin has this instance use what the record grants it until a coordinator
// answers.
func (members *members) begin() {
	members.mutex.Lock()
	own, found := members.record[members.instance]
	members.mutex.Unlock()
	if found {
		members.holder.Restore(own, members.policy(), members.clock.Now())
	}
}

// Replaced implements [mirror.Handler].
func (members *members) Replaced(entries []store.Entry) {
	leader := elect.Leader{}
	for _, entry := range entries {
		if entry.Key() == coordinatorKey {
			leader = elect.Leader{Term: entry.Revision(), Value: string(entry.Value())}
		}
	}
	members.Changed(entries)
	members.begin()
	if leader.Term == 0 {
		members.elector.ObserveLeader(leader)
	}
}

// Changed implements [mirror.Handler].
func (members *members) Changed(entries []store.Entry) {
	for _, entry := range entries {
		switch {
		case entry.Key() == sharesKey && !entry.Deleted():
			members.recorded(entry)
		case entry.Key() == suspectsKey:
			members.suspects.recorded(entry)
		case entry.Key() != coordinatorKey:
		case entry.Deleted():
			members.elector.ObserveLeader(elect.Leader{})
		default:
			members.elector.ObserveLeader(elect.Leader{Term: entry.Revision(), Value: string(entry.Value())})
		}
	}
}

// Lost implements [mirror.Handler].
func (*members) Lost(time.Time) {}

// Regained implements [mirror.Handler].
func (*members) Regained(time.Time) {}

// mirrorParts is what a mirror of the platform's service is built from.
type mirrorParts struct {
	fx.In

	Store   *platform.Store
	Relay   *relay.Relay
	Pool    *pool.Pool
	Members *members
	Clock   *clock.Service
	Log     logrus.FieldLogger
}

// newMirror follows all keys with one watch: their revisions then have no gaps,
// so that a watch that hears nothing can be told from a quiet time.
func newMirror(parts mirrorParts) *mirror.Mirror {
	return mirror.New(mirror.Config{Source: parts.Store, Clock: parts.Clock, Log: parts.Log, Handler: mirror.PrefixHandlers{
		{Prefix: platform.PolicyKey, Handler: &policyOwner{relay: parts.Relay, log: parts.Log}},
		{Prefix: platform.RegistryPrefix, Handler: &registryOwner{pool: parts.Pool, clock: parts.Clock, log: parts.Log, known: map[names.BackendServer]bool{}}},
		{Prefix: ownPrefix, Handler: parts.Members},
	}})
}

// platformParts is what following the platform needs.
type platformParts struct {
	fx.In

	Mirror  *mirror.Mirror
	Elector *elect.Elector
	Members *members
}

// followPlatform keeps policy, registry and the system's own keys up to date.
func followPlatform(lifecycle fx.Lifecycle, parts platformParts) {
	ctx, cancel := context.WithCancel(context.Background())
	parts.Members.elector = parts.Elector
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
