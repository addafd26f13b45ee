package member

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// table holds every member that a node knows, including itself.
type table struct {
	members map[names.Instance]*trackedMember
	rings   rings
	// digests holds a hash of the records in each bucket. Gone members are left
	// out, because nodes remove them at different times.
	digests [bucketCount]uint64
	buckets [bucketCount]map[names.Instance]struct{}
	// The sets below are small while few members fail.
	suspects map[names.Instance]struct{}
	failed   map[names.Instance]struct{}
	gone     map[names.Instance]struct{}
	domains  map[names.FailureDomain]domainCount
}

func newTable() *table {
	table := &table{
		members:  make(map[names.Instance]*trackedMember),
		suspects: make(map[names.Instance]struct{}),
		failed:   make(map[names.Instance]struct{}),
		gone:     make(map[names.Instance]struct{}),
		domains:  make(map[names.FailureDomain]domainCount),
	}
	for bucket := range table.buckets {
		table.buckets[bucket] = make(map[names.Instance]struct{})
	}
	return table
}

func bucketOf(instance names.Instance) uint8 {
	return uint8(xxhash.Sum64String(string(instance)) % bucketCount)
}

// put stores the record of a member and updates the indexes.
func (table *table) put(record Record) *trackedMember {
	instance := record.Member.Instance()
	bucket := bucketOf(instance)
	member := table.members[instance]
	if member == nil {
		member = &trackedMember{record: record}
		table.members[instance] = member
		table.buckets[bucket][instance] = struct{}{}
	} else {
		table.unindex(instance, member.record)
		member.record = record
	}
	table.domains[record.Member.Domain()] = table.domains[record.Member.Domain()].add(record.Health, 1)
	switch record.Health {
	case Alive:
	case Suspect:
		table.suspects[instance] = struct{}{}
	case Failed:
		table.failed[instance] = struct{}{}
	case Gone:
		table.gone[instance] = struct{}{}
	}
	if record.Health < Gone {
		table.digests[bucket] ^= record.digest()
	}
	if record.Health < Failed {
		table.rings.add(instance)
	} else {
		table.rings.remove(instance)
	}
	return member
}

// unindex removes a record from the indexes that depend on its health.
func (table *table) unindex(instance names.Instance, record Record) {
	table.domains[record.Member.Domain()] = table.domains[record.Member.Domain()].add(record.Health, -1)
	delete(table.suspects, instance)
	delete(table.failed, instance)
	delete(table.gone, instance)
	if record.Health < Gone {
		table.digests[bucketOf(instance)] ^= record.digest()
	}
}

// removeMember removes a member and its index entries.
func (table *table) removeMember(instance names.Instance) {
	member := table.members[instance]
	if member == nil {
		return
	}
	table.unindex(instance, member.record)
	table.rings.remove(instance)
	delete(table.buckets[bucketOf(instance)], instance)
	delete(table.members, instance)
}

// bucketRecords returns the records of one bucket, sorted by instance.
func (table *table) bucketRecords(bucket uint8) []Record {
	instances := sorted(table.buckets[bucket%bucketCount])
	records := make([]Record, 0, len(instances))
	for _, instance := range instances {
		records = append(records, table.members[instance].record)
	}
	return records
}

// liveCount returns the number of members that have not failed.
func (table *table) liveCount() int { return len(table.rings[0]) }

// sorted returns the instances of a set in ascending order.
func sorted(set map[names.Instance]struct{}) []names.Instance {
	return slices.Sorted(maps.Keys(set))
}
