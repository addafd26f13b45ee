package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/elect"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// ownPrefix holds what the system itself keeps in the platform's service.
	ownPrefix = "basilkeel/"
	// coordinatorKey names the entry that coordinates.
	coordinatorKey = ownPrefix + "coordinator"
	// memberPrefix holds a key for each instance that ever served.
	memberPrefix = ownPrefix + "members/"
)

// policyOwner puts configurations in force.
type policyOwner struct {
	relay *relay.Relay
	log   logrus.FieldLogger
}

var _ mirror.Owner = (*policyOwner)(nil)

// Replaced implements [mirror.Owner].
func (owner *policyOwner) Replaced(entries []store.Entry) { owner.Changed(entries) }

// Changed implements [mirror.Owner].
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
		owner.relay.Adopt(snapshot)
		event.PolicyInForce.Log(owner.log, logrus.Fields{"policy": snapshot.Version(), "revision": int64(entry.Revision())})
	}
}

// Lost implements [mirror.Owner].
func (*policyOwner) Lost(time.Time) {}

// Regained implements [mirror.Owner].
func (*policyOwner) Regained(time.Time) {}

// registryOwner keeps the pool of backend servers.
type registryOwner struct {
	pool  *pool.Pool
	clock *clock.Service
	log   logrus.FieldLogger
	known map[names.BackendServer]bool
}

var _ mirror.Owner = (*registryOwner)(nil)

// Replaced implements [mirror.Owner].
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

// Changed implements [mirror.Owner].
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

// Lost implements [mirror.Owner].
func (owner *registryOwner) Lost(since time.Time) { owner.pool.Lost(since) }

// Regained implements [mirror.Owner].
func (owner *registryOwner) Regained(at time.Time) { owner.pool.Regained(at) }

// members follows what the system keeps for itself.
type members struct {
	elector *elect.Elector
	log     logrus.FieldLogger
	// mutex guards known and loaded.
	mutex  sync.Mutex
	known  map[names.Instance]bool
	loaded bool
}

var _ mirror.Owner = (*members)(nil)

func newMembers(log logrus.FieldLogger) *members {
	return &members{log: log, known: map[names.Instance]bool{}}
}

// list returns the instances that may serve.
func (members *members) list() []names.Instance {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	list := make([]names.Instance, 0, len(members.known))
	for instance := range members.known {
		list = append(list, instance)
	}
	return list
}

// Replaced implements [mirror.Owner].
func (members *members) Replaced(entries []store.Entry) {
	leader := elect.Leader{}
	for _, entry := range entries {
		if entry.Key() == coordinatorKey {
			leader = elect.Leader{Term: entry.Revision(), Value: string(entry.Value())}
		}
	}
	members.Changed(entries)
	members.elector.Seen(leader)
}

// Changed implements [mirror.Owner].
func (members *members) Changed(entries []store.Entry) {
	for _, entry := range entries {
		if instance, found := strings.CutPrefix(entry.Key(), memberPrefix); found {
			members.mutex.Lock()
			members.known[names.Instance(instance)] = true
			members.mutex.Unlock()
			continue
		}
		if entry.Key() != coordinatorKey {
			continue
		}
		if entry.Deleted() {
			members.elector.Seen(elect.Leader{})
		} else {
			members.elector.Seen(elect.Leader{Term: entry.Revision(), Value: string(entry.Value())})
		}
	}
}

// Lost implements [mirror.Owner].
func (*members) Lost(time.Time) {}

// Regained implements [mirror.Owner].
func (*members) Regained(time.Time) {}

// platformParts is what following the platform needs.
type platformParts struct {
	fx.In

	Store   *platform.Store
	Relay   *relay.Relay
	Pool    *pool.Pool
	Elector *elect.Elector
	Members *members
	Clock   *clock.Service
	Log     logrus.FieldLogger
}

// followPlatform keeps policy, registry and the system's own keys up to date.
func followPlatform(lifecycle fx.Lifecycle, parts platformParts) {
	ctx, cancel := context.WithCancel(context.Background())
	parts.Members.elector = parts.Elector
	owners := []struct {
		prefix string
		owner  mirror.Owner
	}{
		{platform.PolicyKey, &policyOwner{relay: parts.Relay, log: parts.Log}},
		{platform.RegistryPrefix, &registryOwner{pool: parts.Pool, clock: parts.Clock, log: parts.Log, known: map[names.BackendServer]bool{}}},
		{ownPrefix, parts.Members},
	}
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, each := range owners {
				follower := mirror.New(mirror.Config{Source: parts.Store, Prefix: each.prefix, Owner: each.owner, Clock: parts.Clock, Log: parts.Log})
				running.Go(func() { follower.Run(ctx) })
			}
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}
