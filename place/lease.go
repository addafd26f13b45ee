package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// candidateCount is how many entries, in the order of their scores, try to
	// acquire the lease.
	candidateCount = 2
	// leaseDuration is how long a holder may act after it sent a renewal that
	// the store accepted.
	leaseDuration = 6 * time.Second
	// takeoverDelay is how long the record must stay unchanged before another
	// instance acquires the lease. It is longer than leaseDuration, so that the
	// previous holder has stopped by then.
	takeoverDelay = 9 * time.Second
)

// leaseRecord is the stored record of the planning lease. The epoch rises with
// each acquisition. The holder is empty after a release.
type leaseRecord struct {
	epoch   int64
	holder  names.Instance
	renewal int64
}

// lease is one instance's view of the planning lease. It does no I/O and takes
// the time as an argument.
type lease struct {
	self     names.Instance
	record   leaseRecord
	revision store.Revision
	// known is true once the record was read. It has not changed since
	// unchangedSince.
	known          bool
	unchangedSince time.Time
	// validUntil is when the lease ends by this instance's own clock; zero if
	// the instance does not hold it.
	validUntil time.Time
}

// observe records the stored record, read by a call that began at requestedAt.
func (lease *lease) observe(requestedAt time.Time, record leaseRecord, revision store.Revision) {
	if lease.known && revision == lease.revision {
		return
	}
	lease.record, lease.revision, lease.known, lease.unchangedSince = record, revision, true, requestedAt
	if record.holder != lease.self {
		lease.validUntil = time.Time{}
	}
}

// confirm records that the store accepted record, which was sent at sentAt.
func (lease *lease) confirm(sentAt time.Time, record leaseRecord, revision store.Revision) {
	lease.record, lease.revision, lease.known, lease.unchangedSince = record, revision, true, sentAt
	lease.validUntil = time.Time{}
	if record.holder == lease.self {
		lease.validUntil = sentAt.Add(leaseDuration)
	}
}

// valid reports whether the instance holds the lease at now.
func (lease *lease) valid(now time.Time) bool { return now.Before(lease.validUntil) }

// nextRecord returns the record to write, and false if there is none. The rank
// is the number of live entries before this one in the order of scores.
func (lease *lease) nextRecord(now time.Time, rank int) (leaseRecord, bool) {
	record := lease.record
	switch {
	case !lease.known:
		return leaseRecord{}, false
	case record.holder == lease.self && rank >= candidateCount:
		// The instance releases the lease, since clients only ask the first
		// entries. An instance of rank 1 keeps it: the entry before it may be
		// listed but not running.
		return leaseRecord{epoch: record.epoch, renewal: record.renewal + 1}, true
	case record.holder == lease.self && lease.valid(now):
		return leaseRecord{epoch: record.epoch, holder: lease.self, renewal: record.renewal + 1}, true
	case record.holder == "" && rank == 0, now.Sub(lease.unchangedSince) > takeoverDelay:
		return leaseRecord{epoch: record.epoch + 1, holder: lease.self}, true
	case record.holder == lease.self:
		// The lease ended, but no other instance has acquired it.
		return leaseRecord{epoch: record.epoch + 1, holder: lease.self}, true
	default:
		return leaseRecord{}, false
	}
}

// rankOf returns the number of live entries before self in the order of scores.
func rankOf(self names.Instance, view *fleet.View) int {
	rank := 0
	for _, member := range view.ByRole(fleet.RoleEntry) {
		live := member.State() == fleet.StateLive && member.Instance() != self
		if live && leaseScore(member.Instance()) < leaseScore(self) {
			rank++
		}
	}
	return rank
}

// leaseScore orders the entries; those with the lowest scores try to acquire
// the lease.
func leaseScore(instance names.Instance) uint64 {
	return xxhash.Sum64String("place/" + string(instance))
}
