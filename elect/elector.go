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
	// renewals is how many times a lease is renewed in its time to live.
	renewals = 4
	// standPeriod is how often an election is looked for; limits are lent and
	// models loaded only by a coordinator.
	standPeriod = 100 * time.Millisecond
	// safety is the part of the time to live by which this process stops earlier
	// than the service can end the lease.
	safety = 8
)

// Leader is who coordinates, as the platform's service tells.
type Leader struct {
	// Term is the fencing token; zero means that nobody coordinates.
	Term store.Revision
	// Value is what the leader published of itself.
	Value string
}

// Config carries what an [Elector] is built from.
type Config struct {
	Store store.Store
	Key   string
	// Value is published by this process when it leads; it is unlike that of every
	// other process.
	Value string
	// TTL is the time to live of the lease.
	TTL time.Duration
	// Delay is how long this process waits before it stands for election, so that
	// not all stand at once.
	Delay time.Duration
	Clock *clock.Service
	// Awake is a steady time that counts suspensions; nil means [Awake].
	Awake func() time.Duration
	Log   logrus.FieldLogger
	// Predecessor tells whether a published value is that of a process that has
	// ended and that this one replaces; its lease is not waited for.
	Predecessor func(value string) bool
	// Elected and Ended are called when this process begins and ceases to lead.
	Elected func(term store.Revision)
	Ended   func()
	// Settle waits until nothing that was done in the term is under way any more; the
	// lease is given up only then. Where it fails, the lease is left to expire.
	Settle func(ctx context.Context) error
	// Leader is called with each change of leader.
	Leader func(leader Leader)
}

// Elector stands for election and keeps the lease. It is safe for concurrent
// use.
type Elector struct {
	config Config
	// mutex guards all below.
	mutex sync.Mutex
	// term is this process's own, zero while it does not lead.
	term  store.Revision
	until time.Duration
	lease store.LeaseID
	// leader is the last one seen, and known whether the service told it.
	leader  Leader
	known   bool
	standAt time.Time
	retired bool
}

// New returns an elector that does not lead.
func New(config Config) *Elector {
	if config.Awake == nil {
		config.Awake = Awake
	}
	return &Elector{config: config}
}

// Term returns this process's term while it certainly leads, else zero.
func (elector *Elector) Term() store.Revision {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.term == 0 || elector.config.Awake() >= elector.until {
		return 0
	}
	return elector.term
}

// Doubtful returns this process's term where its lease has run out only because
// the service does not answer, and no other leader has been seen. Whoever acts on
// it needs evidence that nobody else leads, and a fencing token that is checked.
func (elector *Elector) Doubtful() store.Revision {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.leader.Term > elector.term {
		return 0
	}
	return elector.term
}

// Seen tells what the service holds at the key.
func (elector *Elector) Seen(leader Leader) {
	elector.mutex.Lock()
	changed := !elector.known || elector.leader != leader
	elector.leader, elector.known = leader, true
	if changed {
		switch {
		case leader.Term == 0:
			elector.standAt = elector.config.Clock.Now().Add(elector.config.Delay)
		case elector.term == 0 && elector.config.Predecessor(leader.Value):
			elector.standAt = elector.config.Clock.Now()
		}
	}
	deposed := elector.term != 0 && leader.Term != elector.term
	elector.mutex.Unlock()
	if deposed {
		elector.end("another process coordinates, or the key has gone")
	}
	if changed {
		event.CoordinatorKnown.Log(elector.config.Log, logrus.Fields{"coordinator": leader.Value, "term": int64(leader.Term)})
		elector.config.Leader(leader)
	}
}

// Retire gives up the lease and stands no more.
func (elector *Elector) Retire(ctx context.Context) {
	elector.mutex.Lock()
	elector.retired = true
	lease := elector.lease
	led := elector.term != 0
	elector.mutex.Unlock()
	if !led {
		return
	}
	elector.end("stopping")
	if err := elector.config.Settle(ctx); err != nil {
		event.CoordinatorEnded.Log(elector.config.Log, logrus.Fields{"reason": "lease left to expire", "cause": err.Error()})
		return
	}
	if err := elector.config.Store.Revoke(ctx, lease); err != nil {
		event.CoordinatorEnded.Log(elector.config.Log, logrus.Fields{"reason": "lease left to expire", "cause": err.Error()})
	}
}

// Run renews or stands until ctx ends.
func (elector *Elector) Run(ctx context.Context) {
	renewAt := time.Time{}
	elector.config.Clock.Subscribe(ctx, standPeriod, func(ctx context.Context, now time.Time) {
		if !elector.leads() {
			if former, due := elector.vacant(now); due {
				elector.stand(ctx, former)
			}
			return
		}
		if !now.Before(renewAt) {
			renewAt = now.Add(elector.config.TTL / renewals)
			elector.renew(ctx)
		}
	})
}

func (elector *Elector) leads() bool {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.term != 0
}

// vacant tells whether it is time to stand, and the term of the key that is to
// be replaced, zero where there is none.
func (elector *Elector) vacant(now time.Time) (store.Revision, bool) {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.term != 0 || !elector.known || elector.retired || now.Before(elector.standAt) {
		return 0, false
	}
	return elector.leader.Term, elector.leader.Term == 0 || elector.config.Predecessor(elector.leader.Value)
}

func (elector *Elector) renew(ctx context.Context) {
	elector.mutex.Lock()
	lease := elector.lease
	elector.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, elector.config.TTL/2)
	defer cancel()
	before := elector.config.Awake()
	err := elector.config.Store.Renew(callCtx, lease)
	var leaseError *store.LeaseError
	switch {
	case err == nil:
		elector.mutex.Lock()
		elector.until = before + elector.config.TTL - elector.config.TTL/safety
		elector.mutex.Unlock()
	case errors.As(err, &leaseError):
		elector.end("lease ended")
	}
}

// stand publishes this process in place of the key of a former term.
func (elector *Elector) stand(ctx context.Context, former store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, elector.config.TTL)
	defer cancel()
	before := elector.config.Awake()
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
		// The lease is left to expire: ending it costs a call.
		elector.postpone()
		return
	case errors.As(err, &unknownError):
		entry, found, readErr := elector.config.Store.Get(ctx, elector.config.Key)
		if readErr != nil || !found || string(entry.Value()) != elector.config.Value {
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
	elector.until = before + elector.config.TTL - elector.config.TTL/safety
	elector.mutex.Unlock()
	event.CoordinatorElected.Log(elector.config.Log, logrus.Fields{"term": int64(term)})
	elector.Seen(Leader{Term: term, Value: elector.config.Value})
	elector.config.Elected(term)
}

// postpone spaces attempts, while the watch tells who was elected.
func (elector *Elector) postpone() {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	elector.standAt = elector.config.Clock.Now().Add(elector.config.TTL / renewals)
}

func (elector *Elector) end(reason string) {
	elector.mutex.Lock()
	term := elector.term
	elector.term, elector.lease = 0, 0
	if elector.leader.Term == term {
		// The watch tells when the key has gone, or who holds it now.
		elector.standAt = elector.config.Clock.Now().Add(elector.config.TTL)
	}
	elector.mutex.Unlock()
	event.CoordinatorEnded.Log(elector.config.Log, logrus.Fields{"reason": reason, "term": int64(term)})
	elector.config.Ended()
}
