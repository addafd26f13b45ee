package node

import "github.com/cespare/xxhash/v2"

// seedOf returns a seed for random choices that is derived from an instance's
// identifier.
func seedOf(instance string) uint64 { return xxhash.Sum64String(instance) }
