package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// SeatLeaseConfig carries what a [SeatLease] is built from.
type SeatLeaseConfig struct {
	Record   Record
	Switches Switches
}

// SeatLease is one holder's permission to lend from one seat. The permission ends
// by the holder's own clock unless the platform's service or, while that cannot
// be reached, the holder of another seat confirms it. It is decision code and
// not safe for concurrent use.
type SeatLease struct {
	config SeatLeaseConfig
	record Record
	// voters are the other seats' records as read before the last write.
	voters []Record
	// storedUntil and rides end what the service's word allows.
	storedUntil time.Time
	voteDeadline  time.Time
	// votedUntil ends what the votes of other seats allow.
	votedUntil time.Time
	// promised holds, by seat, the highest revision never to be confirmed again.
	promised map[int]store.Revision
	closing bool
}

// NewSeatLease returns a tenure without permission; [SeatLease.Renew] gives it.
func NewSeatLease(config SeatLeaseConfig) *SeatLease {
	return &SeatLease{config: config, record: config.Record, promised: map[int]store.Revision{}}
}

// Record returns the record as last written.
func (seatLease *SeatLease) Record() Record { return seatLease.record }

// Renew takes in that the service wrote record, sent at sentAt, and that it
// listed others before that.
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

// Voters returns the holders whose vote would confirm the tenure.
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

// Confirm takes in that a voter confirmed revision, asked at sentAt.
func (seatLease *SeatLease) Confirm(revision store.Revision, sentAt time.Time) {
	if revision != seatLease.record.Revision() {
		return
	}
	if until := sentAt.Add(SeatLeaseLength); until.After(seatLease.votedUntil) {
		seatLease.votedUntil = until
	}
}

// Until returns when the permission ends.
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

// Valid tells whether the permission lasts at now.
func (seatLease *SeatLease) Valid(now time.Time) bool { return now.Before(seatLease.Until()) }

// KeptByVotes tells that only other holders' votes keep the permission.
func (seatLease *SeatLease) KeptByVotes(now time.Time) bool {
	return seatLease.Valid(now) && !now.Before(seatLease.storedUntil)
}

// CastVote decides a vote on another seat, and notes what it promises.
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

// Close stops new loans; the permission stays until the loans have ended.
func (seatLease *SeatLease) Close() { seatLease.closing = true }

// Closing tells that the seat is being given up.
func (seatLease *SeatLease) Closing() bool { return seatLease.closing }
