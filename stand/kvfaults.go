package stand

import "time"

// KVFaults describes the faults injected into a [KV]. The zero value means none.
type KVFaults struct {
	// Refuse closes all connections and refuses new ones.
	Refuse bool
	// Hang blocks each call, before it takes effect, until Hang is cleared.
	Hang bool
	// Delay is the time before each call takes effect.
	Delay time.Duration
	// LoseAnswers is the number of next writes that take effect but whose answers
	// are lost.
	LoseAnswers int
	// LoseShare is the fraction of writes, from 0 to 1, that take effect but whose
	// answers are lost. The losses are evenly spread.
	LoseShare float64
	// LateWrites is the number of next writes that return an error to the caller
	// at once but take effect after LateDelay.
	LateWrites int
	// LateDelay is the delay of late writes.
	LateDelay time.Duration
	// CallsPerSecond limits calls of all kinds; zero means no limit.
	CallsPerSecond float64
	// WritesPerSecond limits swaps, deletes, grants, renewals and revocations;
	// zero means no limit.
	WritesPerSecond float64
}
