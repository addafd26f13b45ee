package member

import (
	"hash/fnv"
	"strconv"

	"github.com/basilkeel/basilkeel/fleet"
)

// Record is what one instance tells another about a member.
type Record struct {
	// Member describes the instance; its state is not used.
	Member fleet.Member
	// Birth is when the process started, in milliseconds since 1970; zero until
	// the process was heard of from itself.
	Birth uint64
	// Incarnation rises with each refutation by the member.
	Incarnation uint64
	// Health is what monitors found.
	Health Health
	// Leaving is never taken back within one birth.
	Leaving bool
	// Accusers has a bit for each ring whose monitor accuses the member.
	Accusers uint8
}

// newer tells whether record was spoken by the member later than other.
func (record Record) newer(other Record) bool {
	if record.Birth != other.Birth {
		return record.Birth > other.Birth
	}
	return record.Incarnation > other.Incarnation
}

// sameIncarnation tells whether two records are of one incarnation.
func (record Record) sameIncarnation(other Record) bool {
	return record.Birth == other.Birth && record.Incarnation == other.Incarnation
}

// merge returns what both records say together.
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

// differs tells whether two records about one member say different things.
func (record Record) differs(other Record) bool {
	return !record.sameIncarnation(other) || record.Health != other.Health ||
		record.Leaving != other.Leaving || record.Accusers != other.Accusers
}

// digest is a hash of what the record says.
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
