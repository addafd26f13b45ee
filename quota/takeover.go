package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// suspectAfter is how long a record stays unchanged before its holder is
// suspected of having failed.
const suspectAfter = 2 * RenewPeriod

// TakeoverConfig carries what a [Takeover] is built from.
type TakeoverConfig struct {
	Shard    int
	Seat     int
	Self     names.Instance
	Switches Switches
}

// Takeover decides when an instance may take a seat over. It is decision code
// and not safe for concurrent use.
type Takeover struct {
	config TakeoverConfig
	seen   bool
	record Record
	// unchangedSince is when the record was first read as it is, by the own clock.
	unchangedSince    time.Time
	others   []Record
	promises map[int]promise
	// endedAt holds when instances were found to run no more.
	endedAt map[names.Instance]time.Time
}

// promise is the word of one seat's holder never to confirm a revision again.
type promise struct {
	voter    Record
	revision store.Revision
	receivedAt       time.Time
}

// NewTakeover returns a challenge that has seen nothing.
func NewTakeover(config TakeoverConfig) *Takeover {
	return &Takeover{config: config, promises: map[int]promise{}, endedAt: map[names.Instance]time.Time{}}
}

// Observe takes in the shard's records, whose read was answered at now.
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

// VoteRequests returns the promises that are still to be asked for.
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

// AddPromise takes in that voter has promised what vote asked, answered at now.
func (takeover *Takeover) AddPromise(now time.Time, voter Record, vote Vote) {
	known, ok := takeover.promises[vote.Voter]
	if ok && known.voter.Epoch() == voter.Epoch() && known.revision == vote.Revision {
		return
	}
	takeover.promises[vote.Voter] = promise{voter: voter, revision: vote.Revision, receivedAt: now}
}

// Suspects returns the records whose holders' end would replace a promise.
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

// AddEnded takes in that the holder of record was found at now to run no more.
func (takeover *Takeover) AddEnded(now time.Time, record Record) {
	if !takeover.ended(record) {
		takeover.endedAt[record.Holder()] = now
	}
}

// Ready tells whether every permission under the record as last read has surely
// ended, given that the record is still the same when it is overwritten.
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
		if takeover.canVote(other) && !takeover.cannotVote(now, other) {
			return false
		}
	}
	return true
}

// Claim returns the record that takes the seat over.
func (takeover *Takeover) Claim(address string) Record {
	return NewRecord(RecordConfig{
		Shard:   takeover.config.Shard,
		Seat:    takeover.config.Seat,
		Epoch:   takeover.record.Epoch() + 1,
		Holder:  takeover.config.Self,
		Address: address,
	})
}

func (takeover *Takeover) suspected(now time.Time) bool {
	return takeover.seen && takeover.record.Holder() != "" && now.Sub(takeover.unchangedSince) >= suspectAfter
}

// canVote tells whether other's holder could confirm the challenged one.
func (takeover *Takeover) canVote(other Record) bool {
	return other.Holder() != "" && other.Holder() != takeover.record.Holder()
}

// cannotVote tells whether every vote of other has surely ended.
func (takeover *Takeover) cannotVote(now time.Time, other Record) bool {
	if takeover.leasesExpired(now, other) {
		return true
	}
	return takeover.hasPromise(other) && now.Sub(takeover.promises[other.Seat()].receivedAt) >= lengthenForDrift(SeatLeaseLength)
}

func (takeover *Takeover) ended(record Record) bool {
	_, ok := takeover.endedAt[record.Holder()]
	return ok
}

// leasesExpired tells whether the holder ended so long ago that its loans and votes
// have ended too.
func (takeover *Takeover) leasesExpired(now time.Time, record Record) bool {
	at, ok := takeover.endedAt[record.Holder()]
	return ok && now.Sub(at) >= lengthenForDrift(SeatLeaseLength)
}

func (takeover *Takeover) hasPromise(other Record) bool {
	given, ok := takeover.promises[other.Seat()]
	return ok && given.voter.Epoch() == other.Epoch() && given.revision == takeover.record.Revision()
}
