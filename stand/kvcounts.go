package stand

// KVCounts counts the calls on a [KV].
type KVCounts struct {
	// Calls is the number of calls of each kind, including throttled ones.
	Calls map[KVKind]int64
	// Watching is the number of watches that are waiting.
	Watching int64
	// Throttled is the number of calls refused for exceeding a rate limit.
	Throttled int64
}

// Total returns the number of calls of all kinds.
func (counts KVCounts) Total() int64 {
	var total int64
	for _, count := range counts.Calls {
		total += count
	}
	return total
}

// Writes returns the number of calls of the kinds that write.
func (counts KVCounts) Writes() int64 {
	var total int64
	for kind, count := range counts.Calls {
		if kind.writes() {
			total += count
		}
	}
	return total
}
