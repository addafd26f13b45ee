package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// suspectAfter is how long a record has to remain unchanged before its holder is
// suspected of having failed.
const suspectAfter = 2 * RenewPeriod

// TakeoverConfig configures a [Takeover].
type TakeoverConfig struct {
	Shard    int
	Seat     int
	Self     names.Instance
	Switches Switches
}

// Takeover decides when an instance may take over a seat. It is pure decision
// code and not safe for concurrent use.
type Takeover struct {
	config TakeoverConfig
	seen   bool
	record Record
	// unchangedSince is when the record was first read at its present revision, on
	// the local clock.
	unchangedSince time.Time
	others         []Record
	promises       map[int]promise
	// endedAt holds when instances were found to have ended.
	endedAt map[names.Instance]time.Time
}

// promise records that a seat's holder has promised never to confirm a revision
// again.
type promise struct {
	voter      Record
	revision   store.Revision
	receivedAt time.Time
}

// NewTakeover returns a takeover that has observed no records.
func NewTakeover(config TakeoverConfig) *Takeover {
	return &Takeover{config: config, promises: map[int]promise{}, endedAt: map[names.Instance]time.Time{}}
}

// Observe records the shard's records, whose read was answered at now.
func (takeover *Takeover) Observe(now time.Time, records []Record) {
	record := NewRecord(RecordConfig{Shard: takeover.config.Shard, Seat: takeover.config.Seat})
	takeover.others = takeover.others[:0]
	for _, each := range records {
		if each.Seat() == takeover.config.Seat {
			record = each
		} else {
			takeover.others = append(takeover.others, each)
		}
	}
	if !takeover.seen || record.Revision() != takeover.record.Revision() {
		takeover.unchangedSince = now
	}
	takeover.seen, takeover.record = true, record
}

// Record returns the record as last read.
func (takeover *Takeover) Record() Record { return takeover.record }

// VoteRequests returns the requests for the promises that are still missing.
func (takeover *Takeover) VoteRequests(now time.Time) []VoteRequest {
	if !takeover.suspected(now) {
		return nil
	}
	var requests []VoteRequest
	for _, other := range takeover.others {
		if !takeover.canVote(other) || takeover.hasPromise(other) {
			continue
		}
		requests = append(requests, VoteRequest{
			Voter: other,
			Vote: Vote{
				Shard:      other.Shard(),
				Voter:      other.Seat(),
				VoterEpoch: other.Epoch(),
				Seat:       takeover.config.Seat,
				Revision:   takeover.record.Revision(),
				Against:    true,
			},
		})
	}
	return requests
}

// AddPromise records that voter granted the promise that vote asked for, in an
// answer received at now.
func (takeover *Takeover) AddPromise(now time.Time, voter Record, vote Vote) {
	known, ok := takeover.promises[vote.Voter]
	if ok && known.voter.Epoch() == voter.Epoch() && known.revision == vote.Revision {
		return
	}
	takeover.promises[vote.Voter] = promise{voter: voter, revision: vote.Revision, receivedAt: now}
}

// Suspects returns the records whose holders are to be checked for having ended:
// the seat's own, and those whose promise is missing. A holder that has ended
// has nothing to promise.
func (takeover *Takeover) Suspects(now time.Time) []Record {
	if !takeover.suspected(now) {
		return nil
	}
	var suspects []Record
	if !takeover.ended(takeover.record) {
		suspects = append(suspects, takeover.record)
	}
	for _, other := range takeover.others {
		if takeover.canVote(other) && !takeover.hasPromise(other) && !takeover.ended(other) {
			suspects = append(suspects, other)
		}
	}
	return suspects
}

// AddEnded records that the holder of record was found at now to have ended.
func (takeover *Takeover) AddEnded(now time.Time, record Record) {
	if !takeover.ended(record) {
		takeover.endedAt[record.Holder()] = now
	}
}

// Ready reports whether the lease of the record as last read, with all extensions
// by votes, has certainly expired, provided that the record is unchanged when it
// is overwritten.
func (takeover *Takeover) Ready(now time.Time) bool {
	if !takeover.seen {
		return false
	}
	if takeover.record.Revision() != 0 && takeover.record.Holder() == "" {
		return true
	}
	unchanged := now.Sub(takeover.unchangedSince)
	if unchanged < lengthenForDrift(SeatLeaseLength) {
		return false
	}
	if takeover.record.Holder() == "" || unchanged >= lengthenForDrift(VoteOnlyLimit) || takeover.config.Switches.NoPromise {
		return true
	}
	if takeover.leasesExpired(now, takeover.record) {
		return true
	}
	for _, other := range takeover.others {
		if takeover.canVote(other) && !takeover.votesExpired(now, other) {
			return false
		}
	}
	return true
}

// Claim returns the record that takes over the seat.
func (takeover *Takeover) Claim(address string) Record {
	return NewRecord(RecordConfig{
		Shard:   takeover.config.Shard,
		Seat:    takeover.config.Seat,
		Epoch:   takeover.record.Epoch() + 1,
		Holder:  takeover.config.Self,
		Address: address,
	})
}

// suspected reports whether the seat's holder may have failed.
func (takeover *Takeover) suspected(now time.Time) bool {
	return takeover.seen && takeover.record.Holder() != "" && now.Sub(takeover.unchangedSince) >= suspectAfter
}

// canVote reports whether other's holder could confirm the seat's present one.
func (takeover *Takeover) canVote(other Record) bool {
	return other.Holder() != "" && other.Holder() != takeover.record.Holder()
}

// votesExpired reports whether every vote that other's holder may have cast for
// the seat's present holder has certainly expired.
func (takeover *Takeover) votesExpired(now time.Time, other Record) bool {
	if takeover.leasesExpired(now, other) {
		return true
	}
	return takeover.hasPromise(other) && now.Sub(takeover.promises[other.Seat()].receivedAt) >= lengthenForDrift(SeatLeaseLength)
}

// ended reports whether the holder of record was found to have ended.
func (takeover *Takeover) ended(record Record) bool {
	_, ok := takeover.endedAt[record.Holder()]
	return ok
}

// leasesExpired reports whether the holder of record ended so long ago that its
// loans and votes have expired too.
func (takeover *Takeover) leasesExpired(now time.Time, record Record) bool {
	at, ok := takeover.endedAt[record.Holder()]
	return ok && now.Sub(at) >= lengthenForDrift(SeatLeaseLength)
}

// hasPromise reports whether other's holder has promised never to confirm the
// record as last read.
func (takeover *Takeover) hasPromise(other Record) bool {
	given, ok := takeover.promises[other.Seat()]
	return ok && given.voter.Epoch() == other.Epoch() && given.revision == takeover.record.Revision()
}
