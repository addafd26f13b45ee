package member

import (
	"hash/fnv"
	"strconv"

	"github.com/basilkeel/basilkeel/fleet"
)

// Record is what one instance reports to another about a member.
type Record struct {
	// Member describes the instance; its state is not used.
	Member fleet.Member
	// Birth is when the process started, in milliseconds since the Unix epoch; zero
	// if the member is known from the platform's list only.
	Birth uint64
	// Incarnation increases with each refutation by the member.
	Incarnation uint64
	// Health is what the monitors report.
	Health Health
	// Leaving is never cleared within one birth.
	Leaving bool
	// Accusers has a bit for each ring whose monitor accuses the member.
	Accusers uint8
}

// newer reports whether record is of a later birth or incarnation than other.
func (record Record) newer(other Record) bool {
	if record.Birth != other.Birth {
		return record.Birth > other.Birth
	}
	return record.Incarnation > other.Incarnation
}

// sameIncarnation reports whether both records are of one birth and incarnation.
func (record Record) sameIncarnation(other Record) bool {
	return record.Birth == other.Birth && record.Incarnation == other.Incarnation
}

// merge combines two records about one member: the newer one wins, and within
// one incarnation the worse health and the accusers of both. A leaving mark is
// kept within one birth, and also from a record without a birth to the first
// record that has one.
func (record Record) merge(other Record) Record {
	merged := record
	switch {
	case other.newer(record):
		merged = other
	case other.sameIncarnation(record):
		merged.Health = max(record.Health, other.Health)
		merged.Accusers |= other.Accusers
	}
	if record.Birth == other.Birth || record.Birth == 0 && merged.Birth == other.Birth {
		merged.Leaving = record.Leaving || other.Leaving
	}
	return merged
}

// differs reports whether two records about one member differ in more than the
// member's description.
func (record Record) differs(other Record) bool {
	return !record.sameIncarnation(other) || record.Health != other.Health ||
		record.Leaving != other.Leaving || record.Accusers != other.Accusers
}

// digest returns a hash of the instance and the fields that [Record.differs]
// compares.
func (record Record) digest() uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(record.Member.Instance()))
	fields := []uint64{record.Birth, record.Incarnation, uint64(record.Health), uint64(record.Accusers)}
	for _, field := range fields {
		hash.Write(strconv.AppendUint([]byte{'/'}, field, 36))
	}
	if record.Leaving {
		hash.Write([]byte{'l'})
	}
	return hash.Sum64()
}
