package store

import (
	"fmt"
	"strconv"
)

// Era counts how often the service was restored from a copy of its data. A restoration
// loses the latest writes and leases, and gives their numbers out again.
type Era int64

// numberBits is how many bits of a [Revision] hold the service's number. A service that
// writes a thousand times a second uses them up in 34 years.
const numberBits = 40

// maxEra bounds the eras that a [Revision] holds.
const maxEra = 1<<(63-numberBits) - 1

// Revision identifies a state of the service. It orders the writes of the service, also
// those before and after a restoration: its high bits hold the [Era], the others the
// number that the service gave the write. An entry that outlives a restoration has another
// revision afterwards. As an expected revision, zero means that the key must not exist.
type Revision int64

// NewRevision returns the revision of a write that has a number in an era. It fails with a
// *[RevisionError] if they are out of range.
func NewRevision(era Era, number int64) (Revision, error) {
	if era < 0 || era > maxEra || number < 0 || number >= 1<<numberBits {
		return 0, &RevisionError{Era: era, Number: number}
	}
	return Revision(int64(era)<<numberBits | number), nil
}

// Era returns the era of the write.
func (revision Revision) Era() Era { return Era(revision >> numberBits) }

// Number returns the number that the service gave the write.
func (revision Revision) Number() int64 { return int64(revision & (1<<numberBits - 1)) }

// String returns the number, preceded by the era if the service was ever restored.
func (revision Revision) String() string {
	if revision.Era() == 0 {
		return strconv.FormatInt(revision.Number(), 10)
	}
	return fmt.Sprintf("%d/%d", revision.Era(), revision.Number())
}

// LeaseID identifies a lease; the zero value means none. In another era, its number may be
// that of another lease.
type LeaseID struct {
	Era    Era
	Number int64
}

// IsZero reports whether the ID identifies no lease.
func (leaseID LeaseID) IsZero() bool { return leaseID == LeaseID{} }

// String returns the number, preceded by the era if the service was ever restored.
func (leaseID LeaseID) String() string {
	if leaseID.Era == 0 {
		return strconv.FormatInt(leaseID.Number, 10)
	}
	return fmt.Sprintf("%d/%d", leaseID.Era, leaseID.Number)
}

// RevisionError reports an era and a number that are no [Revision].
type RevisionError struct {
	Era    Era
	Number int64
}

// Error implements error.
func (revisionError *RevisionError) Error() string {
	return fmt.Sprintf("revision %d of era %d is out of range", revisionError.Number, revisionError.Era)
}
