package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// candidateCount is how many entries look after the duty.
	candidateCount = 2
	// leaseDuration is how long a holder may act after it sent a renewal.
	leaseDuration = 6 * time.Second
	// takeoverDelay is how long a record must stay as it is before another
	// instance takes the duty; it is longer than tenure.
	takeoverDelay = 9 * time.Second
)

// leaseRecord is the record of who has the duty.
type leaseRecord struct {
	epoch   int64
	holder  names.Instance
	renewal int64
}

// lease is one instance's part in the duty of planning. It is decision code.
type lease struct {
	self     names.Instance
	record   leaseRecord
	revision store.Revision
	// known tells that the record was read, since when it is as it is.
	known          bool
	unchangedSince time.Time
	// validUntil ends the permission by this instance's own clock.
	validUntil time.Time
}

// observe takes in the stored record, asked for at askedAt.
func (lease *lease) observe(requestedAt time.Time, record leaseRecord, revision store.Revision) {
	if lease.known && revision == lease.revision {
		return
	}
	lease.record, lease.revision, lease.known, lease.unchangedSince = record, revision, true, requestedAt
	if record.holder != lease.self {
		lease.validUntil = time.Time{}
	}
}

// confirm takes in that record, sent at sentAt, is in the service.
func (lease *lease) confirm(sentAt time.Time, record leaseRecord, revision store.Revision) {
	lease.record, lease.revision, lease.known, lease.unchangedSince = record, revision, true, sentAt
	lease.validUntil = time.Time{}
	if record.holder == lease.self {
		lease.validUntil = sentAt.Add(leaseDuration)
	}
}

// valid tells that the instance may act as the holder at now.
func (lease *lease) valid(now time.Time) bool { return now.Before(lease.validUntil) }

// nextRecord returns the record to write, and false where none is due. The rank
// counts from zero.
func (lease *lease) nextRecord(now time.Time, rank int) (leaseRecord, bool) {
	record := lease.record
	switch {
	case !lease.known:
		return leaseRecord{}, false
	case record.holder == lease.self && rank >= candidateCount:
		// Nobody asks this instance any more. One that is second keeps the duty:
		// the first may be listed and not run.
		return leaseRecord{epoch: record.epoch, renewal: record.renewal + 1}, true
	case record.holder == lease.self && lease.valid(now):
		return leaseRecord{epoch: record.epoch, holder: lease.self, renewal: record.renewal + 1}, true
	case record.holder == "" && rank == 0, now.Sub(lease.unchangedSince) > takeoverDelay:
		return leaseRecord{epoch: record.epoch + 1, holder: lease.self}, true
	case record.holder == lease.self:
		// The permission ended while nobody followed.
		return leaseRecord{epoch: record.epoch + 1, holder: lease.self}, true
	default:
		return leaseRecord{}, false
	}
}

// rankOf returns how many live entries come before self.
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

func leaseScore(instance names.Instance) uint64 {
	return xxhash.Sum64String("place/" + string(instance))
}
