package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// SeatLeaseConfig configures a [SeatLease].
type SeatLeaseConfig struct {
	Record   Record
	Switches Switches
}

// SeatLease is one holder's permission to lend from one seat. It expires on the
// holder's own clock unless it is confirmed by the platform's service or, while
// that cannot be reached, by the holder of another seat. It is pure decision
// code and not safe for concurrent use.
type SeatLease struct {
	config SeatLeaseConfig
	record Record
	// voters are the records of seats of other holders, as read before the last
	// write.
	voters []Record
	// storedUntil is when the confirmation by the service expires. voteDeadline
	// bounds the extension of that confirmation by votes.
	storedUntil  time.Time
	voteDeadline time.Time
	// votedUntil is when the last confirmation by a vote expires.
	votedUntil time.Time
	// promised holds, by seat, the highest revision that this holder has promised
	// not to confirm again.
	promised map[int]store.Revision
	closing  bool
}

// NewSeatLease returns a lease that is not valid until [SeatLease.Renew] is
// called.
func NewSeatLease(config SeatLeaseConfig) *SeatLease {
	return &SeatLease{config: config, record: config.Record, promised: map[int]store.Revision{}}
}

// Record returns the record as last written.
func (seatLease *SeatLease) Record() Record { return seatLease.record }

// Renew extends the lease after the service stored record. The write was sent at
// sentAt, and others are the shard's records as read before it.
func (seatLease *SeatLease) Renew(record Record, sentAt time.Time, others []Record) {
	seatLease.record = record
	seatLease.storedUntil = sentAt.Add(SeatLeaseLength)
	seatLease.voteDeadline = sentAt.Add(VoteOnlyLimit)
	seatLease.votedUntil = time.Time{}
	seatLease.voters = seatLease.voters[:0]
	for _, other := range others {
		if other.Seat() != record.Seat() && other.Holder() != "" && other.Holder() != record.Holder() {
			seatLease.voters = append(seatLease.voters, other)
		}
	}
}

// Voters returns the records of the holders whose vote would confirm the lease.
func (seatLease *SeatLease) Voters() []Record { return seatLease.voters }

// NewVote returns the vote to ask of voter.
func (seatLease *SeatLease) NewVote(voter Record) Vote {
	return Vote{
		Shard:      voter.Shard(),
		Voter:      voter.Seat(),
		VoterEpoch: voter.Epoch(),
		Seat:       seatLease.record.Seat(),
		Revision:   seatLease.record.Revision(),
	}
}

// Confirm extends the lease after a voter confirmed revision. The vote was
// requested at sentAt.
func (seatLease *SeatLease) Confirm(revision store.Revision, sentAt time.Time) {
	if revision != seatLease.record.Revision() {
		return
	}
	if until := sentAt.Add(SeatLeaseLength); until.After(seatLease.votedUntil) {
		seatLease.votedUntil = until
	}
}

// Until returns when the lease expires.
func (seatLease *SeatLease) Until() time.Time {
	until := seatLease.storedUntil
	voted := seatLease.votedUntil
	if seatLease.voteDeadline.Before(voted) {
		voted = seatLease.voteDeadline
	}
	if voted.After(until) {
		until = voted
	}
	return until
}

// Valid reports whether the lease is in force at now.
func (seatLease *SeatLease) Valid(now time.Time) bool { return now.Before(seatLease.Until()) }

// KeptByVotes reports whether only votes of other holders keep the lease valid.
func (seatLease *SeatLease) KeptByVotes(now time.Time) bool {
	return seatLease.Valid(now) && !now.Before(seatLease.storedUntil)
}

// CastVote decides a vote on another seat, and records the promise if the vote
// asks for one.
func (seatLease *SeatLease) CastVote(now time.Time, vote Vote) bool {
	if !seatLease.Valid(now) || vote.VoterEpoch != seatLease.record.Epoch() || vote.Seat == seatLease.record.Seat() {
		return false
	}
	if !vote.Against {
		return seatLease.promised[vote.Seat] < vote.Revision || seatLease.config.Switches.NoPromise
	}
	seatLease.promised[vote.Seat] = max(seatLease.promised[vote.Seat], vote.Revision)
	return true
}

// Close marks the lease as closing: the holder makes no new loans, and can
// release the seat once the existing ones have expired.
func (seatLease *SeatLease) Close() { seatLease.closing = true }

// Closing reports whether the lease is closing.
func (seatLease *SeatLease) Closing() bool { return seatLease.closing }
