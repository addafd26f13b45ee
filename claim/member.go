package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// Member is an entry that can write shards.
type Member struct {
	Instance names.Instance
	// Address is the address at which the entry serves the Claims gRPC service.
	Address string
}

// Members lists the live entries, including this one. It is safe for concurrent
// use. The lists of two entries may differ for a while.
type Members interface {
	Members() []Member
}

// Candidates returns at most count members to try for a shard, the most
// preferred first. All entries compute the same order, by rendezvous hashing,
// and the loss of a member moves only the shards for which it was the first.
func Candidates(shard int, members []Member, count int) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(weight(shard, b.Instance), weight(shard, a.Instance)),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	return ranked[:min(count, len(ranked))]
}

func weight(shard int, instance names.Instance) uint64 {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(shard))
	hash := xxhash.New()
	_, _ = hash.Write(seed[:])
	_, _ = hash.WriteString(string(instance))
	return hash.Sum64()
}
