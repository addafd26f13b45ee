package quota

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

// maintain reads the records of one shard, and releases, renews or takes over
// its seats. If the platform's service fails, it renews the held seats by votes.
func (keeper *Keeper) maintain(ctx context.Context, shard int) {
	records, err := keeper.list(ctx, shard)
	if err != nil {
		keeper.logStoreFailure(shard, err)
		keeper.renewAllByVote(ctx, shard)
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
		if keeper.reconcile(shard, index, records) {
			keeper.renew(ctx, shard, index, records)
			continue
		}
		keeper.tryTakeover(ctx, shard, index, records)
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

// reconcile updates the state of a seat from its record, and reports whether
// this instance holds the seat. A record in this instance's name without a
// matching lease is from a write whose answer was lost: instance names are never
// reused, so no other instance can have written it.
func (keeper *Keeper) reconcile(shard, index int, records []Record) bool {
	record, found := findRecord(records, index)
	mine := found && record.Holder() == keeper.config.Self.Instance
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seat := &keeper.shards[shard].seats[index]
	if mine && (seat.lease == nil || seat.lease.Record().Epoch() != record.Epoch()) {
		keeper.startLease(seat, record, keeper.config.Clock.Now())
	}
	if !mine && seat.lease != nil {
		event.QuotaSeatLost.Log(keeper.config.Logger, recordFields(seat.lease.Record()))
		*seat = emptySeat()
	}
	return seat.lease != nil
}

// renew renews a held seat's lease at the platform's service, or by votes if
// that fails.
func (keeper *Keeper) renew(ctx context.Context, shard, index int, records []Record) {
	current, _ := findRecord(records, index)
	next := current.next()
	sentAt := keeper.config.Clock.Now()
	written, err := keeper.swap(ctx, current.Revision(), next)
	if err != nil {
		keeper.logStoreFailure(shard, err)
		keeper.renewByVote(ctx, shard, index)
		return
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if seat := &keeper.shards[shard].seats[index]; seat.lease != nil {
		seat.lease.Renew(written, sentAt, records)
	}
}

// tryTakeover takes over a seat that this instance should hold, or performs the
// next steps of preparing it.
func (keeper *Keeper) tryTakeover(ctx context.Context, shard, index int, records []Record) {
	candidates := keeper.candidateCache.forShard(shard)
	if len(candidates) <= index || candidates[index].Instance != keeper.config.Self.Instance {
		return
	}
	takeover := keeper.takeoverOf(shard, index)
	now := keeper.config.Clock.Now()
	takeover.Observe(now, records)
	if takeover.Ready(now) {
		keeper.claim(ctx, shard, index, takeover, records)
		return
	}
	for _, voteRequest := range takeover.VoteRequests(now) {
		if keeper.requestVote(ctx, voteRequest.Voter, voteRequest.Vote) {
			takeover.AddPromise(keeper.config.Clock.Now(), voteRequest.Voter, voteRequest.Vote)
		}
	}
	for _, suspect := range takeover.Suspects(now) {
		if keeper.holderEnded(ctx, suspect) {
			takeover.AddEnded(keeper.config.Clock.Now(), suspect)
		}
	}
}

// holderEnded reports whether the holder of record has certainly ended: it is
// not listed, and its address refuses connections or now belongs to this
// instance.
func (keeper *Keeper) holderEnded(ctx context.Context, record Record) bool {
	for _, peer := range keeper.candidateCache.live() {
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

// takeoverOf returns the seat's takeover, which only the worker that maintains
// the shard uses.
func (keeper *Keeper) takeoverOf(shard, index int) *Takeover {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seat := &keeper.shards[shard].seats[index]
	if seat.takeover == nil {
		seat.takeover = NewTakeover(TakeoverConfig{Shard: shard, Seat: index, Self: keeper.config.Self.Instance})
	}
	return seat.takeover
}

// claim writes the record that takes over a seat and starts its lease.
func (keeper *Keeper) claim(ctx context.Context, shard, index int, takeover *Takeover, records []Record) {
	sentAt := keeper.config.Clock.Now()
	claim := takeover.Claim(keeper.config.Self.Address)
	written, err := keeper.swap(ctx, takeover.Record().Revision(), claim)
	if err != nil {
		keeper.logStoreFailure(shard, err)
		return
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	seat := &keeper.shards[shard].seats[index]
	keeper.startLease(seat, written, sentAt)
	seat.lease.Renew(written, sentAt, records)
}

// startLease starts a lease and a lender whose portions are empty. The caller
// holds keeper.mu.
func (keeper *Keeper) startLease(seat *seat, record Record, start time.Time) {
	*seat = emptySeat()
	seat.lease = NewSeatLease(SeatLeaseConfig{Record: record})
	seat.lender = NewLender(LenderConfig{Start: start, Epoch: record.Epoch()})
	event.QuotaSeatTaken.Log(keeper.config.Logger, recordFields(record))
}

// swap writes record, and reads it back if the outcome is unknown.
func (keeper *Keeper) swap(ctx context.Context, expected store.Revision, record Record) (Record, error) {
	value, err := encodeRecord(record)
	if err != nil {
		return Record{}, err
	}
	swapCtx, cancel := context.WithTimeout(ctx, keeper.config.StoreTimeout)
	defer cancel()
	revision, err := keeper.config.Store.Swap(swapCtx, store.Swap{Key: record.Key(), Expected: expected, Value: value})
	if err == nil {
		return record.withRevision(revision), nil
	}
	var unknown *store.UnknownError
	if !errors.As(err, &unknown) {
		return Record{}, err
	}
	return keeper.readBack(ctx, record, err)
}

// readBack returns the stored record if it stems from the write of record, and
// otherwise cause.
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
	if !current.sameWrite(record) {
		return Record{}, cause
	}
	return current, nil
}

// renewAllByVote asks the holders of the shard's other seats to confirm the held
// seats.
func (keeper *Keeper) renewAllByVote(ctx context.Context, shard int) {
	for index := range Seats {
		keeper.renewByVote(ctx, shard, index)
	}
}

// renewByVote asks voters in turn until one confirms the seat's lease.
func (keeper *Keeper) renewByVote(ctx context.Context, shard, index int) {
	keeper.mu.Lock()
	seatLease := keeper.shards[shard].seats[index].lease
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
		if !keeper.requestVote(ctx, voter, vote) {
			continue
		}
		keeper.mu.Lock()
		seatLease.Confirm(vote.Revision, sentAt)
		keeper.mu.Unlock()
		return
	}
}

// requestVote sends vote to the holder of voter, which may be this instance, and
// reports whether it was granted.
func (keeper *Keeper) requestVote(ctx context.Context, voter Record, vote Vote) bool {
	if voter.Holder() == keeper.config.Self.Instance {
		return keeper.CastVote(vote)
	}
	ctx, cancel := context.WithTimeout(ctx, keeper.config.VoteTimeout)
	defer cancel()
	granted, err := keeper.config.Transport.Vote(ctx, voter.Address(), vote)
	return err == nil && granted
}

// release releases one seat with a closing lease, whose loans have expired.
func (keeper *Keeper) release(ctx context.Context, shard, index int) {
	keeper.mu.Lock()
	seat := &keeper.shards[shard].seats[index]
	if seat.lease == nil || !seat.lease.Closing() {
		keeper.mu.Unlock()
		return
	}
	record := seat.lease.Record()
	*seat = emptySeat()
	keeper.mu.Unlock()
	if _, err := keeper.swap(ctx, record.Revision(), record.released()); err != nil {
		keeper.logStoreFailure(shard, err)
		return
	}
	event.QuotaSeatReleased.Log(keeper.config.Logger, recordFields(record))
}

func (keeper *Keeper) logStoreFailure(shard int, err error) {
	event.QuotaStoreFailed.Log(keeper.config.Logger, logrus.Fields{"shard": shard, "error": err.Error()})
}

func findRecord(records []Record, seat int) (Record, bool) {
	for _, record := range records {
		if record.Seat() == seat {
			return record, true
		}
	}
	return Record{}, false
}
