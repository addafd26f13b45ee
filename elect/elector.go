package elect

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// renewalsPerTTL is how many times a lease is renewed within its TTL.
	renewalsPerTTL = 4
	// campaignPeriod is how often the elector checks whether to campaign. It is short
	// because only a coordinator lends limits and loads models.
	campaignPeriod = 100 * time.Millisecond
	// safetyDivisor divides the TTL into the margin by which this process stops
	// leading before the service can expire the lease.
	safetyDivisor = 8
)

// Leader is the coordinator according to the platform's key-value service.
type Leader struct {
	// Term is the fencing token, or zero if there is no coordinator.
	Term store.Revision
	// Value is the value that the leader published.
	Value string
}

// Config configures an [Elector].
type Config struct {
	Store store.Store
	Key   string
	// Value is what this process publishes at Key when it leads. It differs from the
	// value of every other process.
	Value string
	// TTL is the time to live of the lease.
	TTL time.Duration
	// CampaignDelay is how long this process waits before it campaigns when the key is
	// vacant, so that processes do not all campaign at once.
	CampaignDelay time.Duration
	Clock         *clock.Service
	// BootTime returns a monotonic time that includes suspensions of the machine. The
	// default is [BootTime].
	BootTime func() time.Duration
	Log      logrus.FieldLogger
	// IsPredecessor reports whether a published value belongs to a process that has
	// ended and that this one replaces. The elector does not wait for its lease to
	// expire.
	IsPredecessor func(value string) bool
	// Elected and Ended are called when this process begins and stops leading.
	Elected func(term store.Revision)
	Ended   func()
	// Drain waits until all operations of the ended term are complete. Only then is the
	// lease revoked; if Drain fails, the lease is left to expire.
	Drain func(ctx context.Context) error
	// LeaderChanged is called with each change of leader.
	LeaderChanged func(leader Leader)
}

// Elector campaigns for leadership and renews the lease. It is safe for concurrent
// use.
type Elector struct {
	config Config
	// mutex guards all below.
	mutex sync.Mutex
	// term is this process's term, zero while it does not lead. While it leads, the
	// lease is valid until leaseUntil.
	term       store.Revision
	leaseUntil time.Duration
	lease      store.LeaseID
	// leader is the leader observed last; leaderKnown is set by the first observation.
	leader      Leader
	leaderKnown bool
	campaignAt  time.Time
	resigned    bool
}

// New returns an elector that does not lead.
func New(config Config) *Elector {
	if config.BootTime == nil {
		config.BootTime = BootTime
	}
	return &Elector{config: config}
}

// Term returns this process's term while its lease is certainly valid, else zero.
func (elector *Elector) Term() store.Revision {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.term == 0 || elector.config.BootTime() >= elector.leaseUntil {
		return 0
	}
	return elector.term
}

// UnconfirmedTerm returns this process's term even if its lease may have expired
// because the service does not answer, as long as no later leader has been
// observed; else zero. Callers need evidence that no other process leads, and must
// send a fencing token that the receiver checks.
func (elector *Elector) UnconfirmedTerm() store.Revision {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.leader.Term > elector.term {
		return 0
	}
	return elector.term
}

// ObserveLeader updates the elector with the leader that the service reports.
func (elector *Elector) ObserveLeader(leader Leader) {
	elector.mutex.Lock()
	changed := !elector.leaderKnown || elector.leader != leader
	elector.leader, elector.leaderKnown = leader, true
	if changed {
		switch {
		case leader.Term == 0:
			elector.campaignAt = elector.config.Clock.Now().Add(elector.config.CampaignDelay)
		case leader.Term != elector.term && elector.succeeds(leader.Value):
			elector.campaignAt = elector.config.Clock.Now()
		}
	}
	deposed := elector.term != 0 && leader.Term != elector.term
	elector.mutex.Unlock()
	if deposed {
		elector.endTerm("another process coordinates, or the key has gone")
	}
	if changed {
		event.CoordinatorKnown.Log(elector.config.Log, logrus.Fields{"coordinator": leader.Value, "term": int64(leader.Term)})
		elector.config.LeaderChanged(leader)
	}
}

// Resign stops campaigning and ends this process's term. It revokes the lease once
// [Config.Drain] has succeeded, and otherwise leaves it to expire.
func (elector *Elector) Resign(ctx context.Context) {
	elector.mutex.Lock()
	elector.resigned = true
	lease := elector.lease
	led := elector.term != 0
	elector.mutex.Unlock()
	if !led {
		return
	}
	elector.endTerm("stopping")
	if err := elector.config.Drain(ctx); err != nil {
		event.CoordinatorEnded.Log(elector.config.Log, logrus.Fields{"reason": "lease left to expire", "cause": err.Error()})
		return
	}
	if err := elector.config.Store.Revoke(ctx, lease); err != nil {
		event.CoordinatorEnded.Log(elector.config.Log, logrus.Fields{"reason": "lease left to expire", "cause": err.Error()})
	}
}

// Run starts to campaign and to renew the lease, until ctx ends. It does not block.
func (elector *Elector) Run(ctx context.Context) {
	renewAt := time.Time{}
	elector.config.Clock.Subscribe(ctx, campaignPeriod, func(ctx context.Context, now time.Time) {
		if !elector.leading() {
			if former, due := elector.campaignDue(now); due {
				elector.campaign(ctx, former)
			}
			return
		}
		if !now.Before(renewAt) {
			renewAt = now.Add(elector.config.TTL / renewalsPerTTL)
			elector.renew(ctx)
		}
	})
}

func (elector *Elector) leading() bool {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.term != 0
}

// campaignDue reports whether it is time to campaign, and returns the term of the
// key to replace, zero if there is none.
func (elector *Elector) campaignDue(now time.Time) (store.Revision, bool) {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.term != 0 || !elector.leaderKnown || elector.resigned || now.Before(elector.campaignAt) {
		return 0, false
	}
	return elector.leader.Term, elector.leader.Term == 0 || elector.succeeds(elector.leader.Value)
}

// succeeds reports whether this process may replace a published value without waiting for
// its lease to expire: that of a predecessor, or its own of a term that has ended, which a
// service that was restored from a copy publishes again.
func (elector *Elector) succeeds(value string) bool {
	return value == elector.config.Value || elector.config.IsPredecessor(value)
}

func (elector *Elector) renew(ctx context.Context) {
	elector.mutex.Lock()
	lease := elector.lease
	elector.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, elector.config.TTL/2)
	defer cancel()
	before := elector.config.BootTime()
	err := elector.config.Store.Renew(callCtx, lease)
	var leaseError *store.LeaseError
	switch {
	case err == nil:
		elector.mutex.Lock()
		elector.leaseUntil = before + elector.config.TTL - elector.config.TTL/safetyDivisor
		elector.mutex.Unlock()
	case errors.As(err, &leaseError):
		elector.endTerm("lease ended")
	}
}

// campaign writes this process's value to the key in place of that of a former term.
func (elector *Elector) campaign(ctx context.Context, former store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, elector.config.TTL)
	defer cancel()
	before := elector.config.BootTime()
	lease, err := elector.config.Store.Grant(ctx, elector.config.TTL)
	if err != nil {
		elector.postpone()
		return
	}
	term, err := elector.config.Store.Swap(ctx, store.Swap{
		Key: elector.config.Key, Expected: former, Value: []byte(elector.config.Value), Lease: lease,
	})
	var conflictError *store.ConflictError
	var unknownError *store.UnknownError
	switch {
	case errors.As(err, &conflictError):
		// The lease is left to expire, as revoking it costs a call.
		elector.postpone()
		return
	case errors.As(err, &unknownError):
		entry, found, readErr := elector.config.Store.Get(ctx, elector.config.Key)
		// The value may be that of an earlier campaign, with a lease that is not renewed.
		if readErr != nil || !found || string(entry.Value()) != elector.config.Value || entry.Lease() != lease {
			elector.postpone()
			return
		}
		term = entry.Revision()
	case err != nil:
		elector.postpone()
		return
	}
	elector.mutex.Lock()
	elector.term, elector.lease = term, lease
	elector.leaseUntil = before + elector.config.TTL - elector.config.TTL/safetyDivisor
	elector.mutex.Unlock()
	event.CoordinatorElected.Log(elector.config.Log, logrus.Fields{"term": int64(term)})
	elector.ObserveLeader(Leader{Term: term, Value: elector.config.Value})
	elector.config.Elected(term)
}

// postpone delays the next campaign; meanwhile the watch reports who was elected.
func (elector *Elector) postpone() {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	elector.campaignAt = elector.config.Clock.Now().Add(elector.config.TTL / renewalsPerTTL)
}

// endTerm ends this process's term.
func (elector *Elector) endTerm(reason string) {
	elector.mutex.Lock()
	term := elector.term
	elector.term, elector.lease = 0, store.LeaseID{}
	if elector.leader.Term == term {
		// The watch reports when the key is deleted, or who leads now.
		elector.campaignAt = elector.config.Clock.Now().Add(elector.config.TTL)
	}
	elector.mutex.Unlock()
	event.CoordinatorEnded.Log(elector.config.Log, logrus.Fields{"reason": reason, "term": int64(term)})
	elector.config.Ended()
}
