package quota

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

// tend renews, challenges or rides on the seats of one shard.
func (keeper *Keeper) tend(ctx context.Context, shard int) {
	records, err := keeper.list(ctx, shard)
	if err != nil {
		keeper.storeFailed(shard, err)
		keeper.ride(ctx, shard)
		return
	}
	keeper.mu.Lock()
	keeper.shards[shard].records = records
	releasable := keeper.shards[shard].releasable
	keeper.shards[shard].releasable = nil
	keeper.mu.Unlock()
	for _, index := range releasable {
		keeper.release(ctx, shard, index)
	}
	if len(releasable) > 0 {
		// The records have changed; the next tick reads them.
		return
	}
	for index := range Seats {
		if keeper.adopt(shard, index, records) {
			keeper.renew(ctx, shard, index, records)
			continue
		}
		keeper.challenge(ctx, shard, index, records)
	}
}

func (keeper *Keeper) list(ctx context.Context, shard int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, keeper.config.StoreTimeout)
	defer cancel()
	entries, err := keeper.config.Store.List(ctx, shardPrefix(shard))
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		record, err := decodeRecord(entry)
		if err != nil {
			event.QuotaRecordUnreadable.Log(keeper.config.Logger, logrus.Fields{"key": entry.Key(), "error": err.Error()})
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// adopt compares a held seat with its record, and tells whether it is held.
// A record in this instance's name without a tenure is the write of a lost
// answer: names are never used again, so nobody else can have written it.
func (keeper *Keeper) adopt(shard, index int, records []Record) bool {
	record, found := find(records, index)
	mine := found && record.Holder() == keeper.config.Self.Instance
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seat := &keeper.shards[shard].seats[index]
	if mine && (seat.tenure == nil || seat.tenure.Record().Epoch() != record.Epoch()) {
		keeper.open(seat, record, keeper.config.Clock.Now())
	}
	if !mine && seat.tenure != nil {
		event.QuotaSeatLost.Log(keeper.config.Logger, recordFields(seat.tenure.Record()))
		*seat = seatWithout()
	}
	return seat.tenure != nil
}

// renew confirms a held seat at the service.
func (keeper *Keeper) renew(ctx context.Context, shard, index int, records []Record) {
	current, _ := find(records, index)
	next := current.next()
	sentAt := keeper.config.Clock.Now()
	written, err := keeper.swap(ctx, current.Revision(), next)
	if err != nil {
		keeper.storeFailed(shard, err)
		keeper.rideSeat(ctx, shard, index)
		return
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if seat := &keeper.shards[shard].seats[index]; seat.tenure != nil {
		seat.tenure.Renew(written, sentAt, records)
	}
}

// challenge works towards taking over a seat that this instance should hold.
func (keeper *Keeper) challenge(ctx context.Context, shard, index int, records []Record) {
	candidates := keeper.roster.candidates(shard)
	if len(candidates) <= index || candidates[index].Instance != keeper.config.Self.Instance {
		return
	}
	takeover := keeper.challenger(shard, index)
	now := keeper.config.Clock.Now()
	takeover.Observe(now, records)
	if takeover.Ready(now) {
		keeper.claim(ctx, shard, index, takeover, records)
		return
	}
	for _, voteRequest := range takeover.VoteRequests(now) {
		if keeper.vote(ctx, voteRequest.Voter, voteRequest.Vote) {
			takeover.AddPromise(keeper.config.Clock.Now(), voteRequest.Voter, voteRequest.Vote)
		}
	}
	for _, suspect := range takeover.Suspects(now) {
		if keeper.gone(ctx, suspect) {
			takeover.AddEnded(keeper.config.Clock.Now(), suspect)
		}
	}
}

// gone tells whether the holder of record surely runs no more: it is not
// listed, and its host answers that nothing listens at its address, or this
// instance has that address itself.
func (keeper *Keeper) gone(ctx context.Context, record Record) bool {
	for _, peer := range keeper.roster.live() {
		if peer.Instance == record.Holder() {
			return false
		}
	}
	if livenessChecker, ok := keeper.config.Peers.(LivenessChecker); ok && livenessChecker.MayBeRunning(record.Holder()) {
		return false
	}
	if record.Address() == keeper.config.Self.Address {
		return record.Holder() != keeper.config.Self.Instance
	}
	ctx, cancel := context.WithTimeout(ctx, keeper.config.VoteTimeout)
	defer cancel()
	return keeper.config.Transport.ConnectionRefused(ctx, record.Address())
}

// challenger returns the seat's challenge, which only the worker that tends
// the shard uses.
func (keeper *Keeper) challenger(shard, index int) *Takeover {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seat := &keeper.shards[shard].seats[index]
	if seat.challenge == nil {
		seat.challenge = NewTakeover(TakeoverConfig{Shard: shard, Seat: index, Self: keeper.config.Self.Instance})
	}
	return seat.challenge
}

func (keeper *Keeper) claim(ctx context.Context, shard, index int, takeover *Takeover, records []Record) {
	sentAt := keeper.config.Clock.Now()
	claim := takeover.Claim(keeper.config.Self.Address)
	written, err := keeper.swap(ctx, takeover.Record().Revision(), claim)
	if err != nil {
		keeper.storeFailed(shard, err)
		return
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seat := &keeper.shards[shard].seats[index]
	keeper.open(seat, written, sentAt)
	seat.tenure.Renew(written, sentAt, records)
}

// open starts a tenure and its empty home. The lock is held.
func (keeper *Keeper) open(seat *seat, record Record, start time.Time) {
	*seat = seatWithout()
	seat.tenure = NewSeatLease(SeatLeaseConfig{Record: record})
	seat.home = NewLender(LenderConfig{Start: start, Epoch: record.Epoch()})
	event.QuotaSeatTaken.Log(keeper.config.Logger, recordFields(record))
}

// swap writes record, and reads back where the answer was lost.
func (keeper *Keeper) swap(ctx context.Context, expected store.Revision, record Record) (Record, error) {
	value, err := encodeRecord(record)
	if err != nil {
		return Record{}, err
	}
	swapCtx, cancel := context.WithTimeout(ctx, keeper.config.StoreTimeout)
	defer cancel()
	revision, err := keeper.config.Store.Swap(swapCtx, store.Swap{Key: record.Key(), Expected: expected, Value: value})
	if err == nil {
		return record.written(revision), nil
	}
	var unknown *store.UnknownError
	if !errors.As(err, &unknown) {
		return Record{}, err
	}
	return keeper.readBack(ctx, record, err)
}

func (keeper *Keeper) readBack(ctx context.Context, record Record, cause error) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, keeper.config.StoreTimeout)
	defer cancel()
	entry, found, err := keeper.config.Store.Get(ctx, record.Key())
	if err != nil {
		return Record{}, err
	}
	if !found {
		return Record{}, cause
	}
	current, err := decodeRecord(entry)
	if err != nil {
		return Record{}, err
	}
	if !current.same(record) {
		return Record{}, cause
	}
	return current, nil
}

// ride asks the other homes of the shard to confirm the held seats.
func (keeper *Keeper) ride(ctx context.Context, shard int) {
	for index := range Seats {
		keeper.rideSeat(ctx, shard, index)
	}
}

func (keeper *Keeper) rideSeat(ctx context.Context, shard, index int) {
	keeper.mu.Lock()
	seatLease := keeper.shards[shard].seats[index].tenure
	var voters []Record
	if seatLease != nil {
		voters = append(voters, seatLease.Voters()...)
	}
	keeper.mu.Unlock()
	for _, voter := range voters {
		keeper.mu.Lock()
		vote := seatLease.NewVote(voter)
		keeper.mu.Unlock()
		sentAt := keeper.config.Clock.Now()
		if !keeper.vote(ctx, voter, vote) {
			continue
		}
		keeper.mu.Lock()
		seatLease.Confirm(vote.Revision, sentAt)
		keeper.mu.Unlock()
		return
	}
}

// vote asks voter, which may be this instance.
func (keeper *Keeper) vote(ctx context.Context, voter Record, vote Vote) bool {
	if voter.Holder() == keeper.config.Self.Instance {
		return keeper.CastVote(vote)
	}
	ctx, cancel := context.WithTimeout(ctx, keeper.config.VoteTimeout)
	defer cancel()
	granted, err := keeper.config.Transport.Vote(ctx, voter.Address(), vote)
	return err == nil && granted
}

// release frees one seat whose loans have ended.
func (keeper *Keeper) release(ctx context.Context, shard, index int) {
	keeper.mu.Lock()
	seat := &keeper.shards[shard].seats[index]
	if seat.tenure == nil || !seat.tenure.Closing() {
		keeper.mu.Unlock()
		return
	}
	record := seat.tenure.Record()
	*seat = seatWithout()
	keeper.mu.Unlock()
	if _, err := keeper.swap(ctx, record.Revision(), record.released()); err != nil {
		keeper.storeFailed(shard, err)
		return
	}
	event.QuotaSeatReleased.Log(keeper.config.Logger, recordFields(record))
}

func (keeper *Keeper) storeFailed(shard int, err error) {
	event.QuotaStoreFailed.Log(keeper.config.Logger, logrus.Fields{"shard": shard, "error": err.Error()})
}

func find(records []Record, seat int) (Record, bool) {
	for _, record := range records {
		if record.Seat() == seat {
			return record, true
		}
	}
	return Record{}, false
}
