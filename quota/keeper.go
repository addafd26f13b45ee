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
	// keeperPeriod is the time between two looks at the seats.
	keeperPeriod        = RenewPeriod / 2
	defaultStoreTimeout = RenewPeriod / 2
	defaultVoteTimeout  = RenewPeriod / 4
	// keeperWorkers bounds the shards that are looked after at once.
	keeperWorkers = Shards
)

// KeeperConfig carries what a [Keeper] is built from.
type KeeperConfig struct {
	Self      Peer
	Peers     Peers
	Store     store.Store
	Transport Transport
	Limits    Limits
	Clock     *clock.Service
	Logger    logrus.FieldLogger
	// StoreTimeout and VoteTimeout bound one call each; zero means the default.
	StoreTimeout time.Duration
	VoteTimeout  time.Duration
}

// Keeper takes, keeps and gives up the seats of one instance, and answers what
// other instances ask of them. Its methods are safe for concurrent use.
type Keeper struct {
	config KeeperConfig
	candidates *candidateCache
	// ticking is held during a tick. It is taken first.
	ticking sync.Mutex
	// mu guards shards and all that is in them. No call leaves the process
	// while it is held.
	mu     sync.Mutex
	shards [Shards]shardState
	// stopped tells that seats are neither taken nor renewed any more.
	stopped bool
}

// shardState is what a keeper knows of one shard.
type shardState struct {
	seats [Seats]seat
	// records are the seats' records as last read.
	records []Record
	nextRead     time.Time
	// releasable lists the seats whose loans have ended after they were given up.
	releasable []int
}

// NewKeeper returns a keeper that holds nothing; [Keeper.Start] makes it work.
func NewKeeper(config KeeperConfig) *Keeper {
	if config.StoreTimeout == 0 {
		config.StoreTimeout = defaultStoreTimeout
	}
	if config.VoteTimeout == 0 {
		config.VoteTimeout = defaultVoteTimeout
	}
	return &Keeper{config: config, candidates: newCandidateCache(config.Peers, config.Clock)}
}

// Start looks after the seats until ctx ends.
func (keeper *Keeper) Start(ctx context.Context) {
	keeper.config.Clock.Subscribe(ctx, keeperPeriod, func(ctx context.Context, now time.Time) {
		keeper.Tick(ctx, now)
	})
}

// Tick looks after every seat once. It does nothing while another is running.
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

// Exchange answers a borrower.
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

// CastVote decides a vote.
func (keeper *Keeper) CastVote(vote Vote) bool {
	if !validSeat(vote.Shard, vote.Voter) || !validSeat(vote.Shard, vote.Seat) {
		return false
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seatLease := keeper.shards[vote.Shard].seats[vote.Voter].lease
	return seatLease != nil && seatLease.CastVote(keeper.config.Clock.Now(), vote)
}

// HeldSeats counts the seats that may lend now.
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

// Close gives the seats up: it lends no more, waits until the loans have ended
// and frees the seats for successors. Should ctx end first, the seats are left
// as after a crash, which is safe and slower.
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

// inspect runs the ticks of a shard's homes and tells whether the shard is due.
func (keeper *Keeper) inspect(now time.Time, shard int) bool {
	state := &keeper.shards[shard]
	wanted := false
	candidates := keeper.candidates.forShard(shard)
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

// otherHolder names the holder that this instance last read of.
func (keeper *Keeper) otherHolder(state *shardState, seat int) Answer {
	for _, record := range state.records {
		if record.Seat() == seat && record.Holder() != keeper.config.Self.Instance {
			return Answer{Holder: record.Holder(), Address: record.Address()}
		}
	}
	return Answer{}
}

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
