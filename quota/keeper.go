package quota

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// keeperPeriod is the time between two ticks.
	keeperPeriod        = RenewPeriod / 2
	defaultStoreTimeout = RenewPeriod / 2
	defaultVoteTimeout  = RenewPeriod / 4
	// keeperWorkers bounds the shards that are maintained concurrently.
	keeperWorkers = Shards
)

// KeeperConfig configures a [Keeper].
type KeeperConfig struct {
	Self      Peer
	Peers     Peers
	Store     store.Store
	Transport Transport
	Limits    Limits
	Clock     *clock.Service
	Logger    logrus.FieldLogger
	// StoreTimeout bounds one call on the platform's service, and VoteTimeout one
	// call to another instance; zero means the default.
	StoreTimeout time.Duration
	VoteTimeout  time.Duration
}

// Keeper acquires, renews and releases the seats of one instance, and handles
// exchanges and votes of other instances. Its methods are safe for concurrent
// use.
type Keeper struct {
	config         KeeperConfig
	candidateCache *candidateCache
	// ticking is held during a tick. It is acquired first.
	ticking sync.Mutex
	// mu guards shards and all that is in them. It is not held during calls on
	// the platform's service or other instances.
	mu     sync.Mutex
	shards [Shards]shardState
	// stopped reports whether [Keeper.Close] was called. Seats are then neither
	// acquired nor renewed.
	stopped bool
}

// shardState is a keeper's state of one shard.
type shardState struct {
	seats [Seats]seat
	// records are the seats' records as last read.
	records  []Record
	nextRead time.Time
	// releasable lists the seats with a closing lease whose loans have expired.
	releasable []int
}

// NewKeeper returns a keeper without seats. [Keeper.Start] starts its periodic
// work.
func NewKeeper(config KeeperConfig) *Keeper {
	if config.StoreTimeout == 0 {
		config.StoreTimeout = defaultStoreTimeout
	}
	if config.VoteTimeout == 0 {
		config.VoteTimeout = defaultVoteTimeout
	}
	return &Keeper{config: config, candidateCache: newCandidateCache(config.Peers, config.Clock)}
}

// Start calls [Keeper.Tick] periodically until ctx ends.
func (keeper *Keeper) Start(ctx context.Context) {
	keeper.config.Clock.Subscribe(ctx, keeperPeriod, func(ctx context.Context, now time.Time) {
		keeper.Tick(ctx, now)
	})
}

// Tick maintains every shard that is due. It does nothing while another tick is
// running.
func (keeper *Keeper) Tick(ctx context.Context, now time.Time) {
	if !keeper.ticking.TryLock() {
		return
	}
	defer keeper.ticking.Unlock()
	keeper.mu.Lock()
	var due []int
	for shard := range keeper.shards {
		if keeper.stopped {
			break
		}
		if keeper.inspect(now, shard) {
			due = append(due, shard)
		}
	}
	keeper.mu.Unlock()
	var workers errgroup.Group
	workers.SetLimit(keeperWorkers)
	for _, shard := range due {
		workers.Go(func() error {
			keeper.maintain(ctx, shard)
			return nil
		})
	}
	_ = workers.Wait()
}

// Exchange handles a message of a borrower. If this instance does not hold the
// seat, the answer names the holder, if known.
func (keeper *Keeper) Exchange(exchange Exchange) Answer {
	if !validSeat(exchange.Shard, exchange.Seat) {
		return Answer{}
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	state := &keeper.shards[exchange.Shard]
	seat := &state.seats[exchange.Seat]
	if seat.lease == nil || seat.lease.Closing() {
		return keeper.otherHolder(state, exchange.Seat)
	}
	// The clock is read under the lock, after any wait for it.
	now := keeper.config.Clock.Now()
	grants, held := seat.lender.Exchange(now, seat.lease.Until(), exchange.Borrower, exchange.Asks, keeper.config.Limits)
	if !held {
		return keeper.otherHolder(state, exchange.Seat)
	}
	return Answer{Held: true, Holder: keeper.config.Self.Instance, Address: keeper.config.Self.Address, Grants: grants}
}

// CastVote decides a vote that is addressed to a seat of this instance.
func (keeper *Keeper) CastVote(vote Vote) bool {
	if !validSeat(vote.Shard, vote.Voter) || !validSeat(vote.Shard, vote.Seat) {
		return false
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seatLease := keeper.shards[vote.Shard].seats[vote.Voter].lease
	return seatLease != nil && seatLease.CastVote(keeper.config.Clock.Now(), vote)
}

// HeldSeats returns the number of seats that may lend now.
func (keeper *Keeper) HeldSeats() int {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	now := keeper.config.Clock.Now()
	held := 0
	for shard := range keeper.shards {
		for _, seat := range keeper.shards[shard].seats {
			if seat.lease != nil && seat.lease.Valid(now) {
				held++
			}
		}
	}
	return held
}

// Close stops lending, waits until the loans have expired and releases the
// seats. If ctx ends first the seats stay unreleased, as after a crash: this is
// safe, but successors have to wait for the leases to expire.
func (keeper *Keeper) Close(ctx context.Context) error {
	keeper.mu.Lock()
	keeper.stopped = true
	for shard := range keeper.shards {
		for index := range keeper.shards[shard].seats {
			if seat := &keeper.shards[shard].seats[index]; seat.lease != nil {
				seat.lease.Close()
			}
		}
	}
	keeper.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-keeper.config.Clock.After(lengthenForDrift(LoanLength)):
	}
	for shard := range keeper.shards {
		for index := range Seats {
			keeper.release(ctx, shard, index)
		}
	}
	return nil
}

// inspect runs the periodic work of a shard that needs no calls, and reports
// whether the shard is due for maintain. The caller holds keeper.mu.
func (keeper *Keeper) inspect(now time.Time, shard int) bool {
	state := &keeper.shards[shard]
	wanted := false
	candidates := keeper.candidateCache.forShard(shard)
	for index := range state.seats {
		seat := &state.seats[index]
		if seat.lease != nil {
			seat.lender.Tick(now, keeper.config.Limits)
			keeper.logSeatState(now, seat)
		}
		candidate := len(candidates) > index && candidates[index].Instance == keeper.config.Self.Instance
		if !candidate {
			seat.takeover = nil
		}
		wanted = wanted || candidate || seat.lease != nil
		if keeper.moveSeat(now, state, index, !candidate && len(candidates) > index) {
			state.releasable = append(state.releasable, index)
			state.nextRead = now
		}
	}
	if !wanted || now.Before(state.nextRead) {
		return false
	}
	state.nextRead = now.Add(RenewPeriod)
	return true
}

// otherHolder returns an answer that names the holder in the last read record,
// if that is another instance.
func (keeper *Keeper) otherHolder(state *shardState, seat int) Answer {
	for _, record := range state.records {
		if record.Seat() == seat && record.Holder() != keeper.config.Self.Instance {
			return Answer{Holder: record.Holder(), Address: record.Address()}
		}
	}
	return Answer{}
}

// logSeatState logs a change of the state of a held seat's lease.
func (keeper *Keeper) logSeatState(now time.Time, seat *seat) {
	state := seatConfirmed
	switch {
	case !seat.lease.Valid(now):
		state = seatExpired
	case seat.lease.KeptByVotes(now):
		state = seatKeptByVotes
	}
	if state == seat.loggedState {
		return
	}
	seat.loggedState = state
	fields := recordFields(seat.lease.Record())
	switch state {
	case seatKeptByVotes:
		event.QuotaSeatRiding.Log(keeper.config.Logger, fields)
	case seatExpired:
		event.QuotaSeatEnded.Log(keeper.config.Logger, fields)
	case seatConfirmed:
	}
}

func recordFields(record Record) logrus.Fields {
	return logrus.Fields{"shard": record.Shard(), "seat": record.Seat(), "epoch": record.Epoch()}
}

func validSeat(shard, seat int) bool {
	return shard >= 0 && shard < Shards && seat >= 0 && seat < Seats
}
