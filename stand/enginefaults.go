package stand

import "time"

// EngineFaults describes the faults injected into a stand-in engine. Each counter
// is the number of the next orders that it affects.
type EngineFaults struct {
	// CrashMarker crashes the engine when it runs a sequence whose prompt
	// contains the marker; empty disables the fault.
	CrashMarker string
	// Frozen suspends the engine and its responses until it is false again.
	Frozen bool
	// SlowFactor multiplies the duration of a step; zero and one have no effect.
	SlowFactor int
	// ReportLag overrides the configured lag if not zero.
	ReportLag time.Duration
	// OrderDelay is the delay of delayed orders and of the second execution of
	// duplicated ones.
	OrderDelay time.Duration
	// LoseOrders counts orders that are dropped, DelayOrders orders that are
	// executed after OrderDelay, and DoubleOrders orders that are executed at
	// once and again after OrderDelay. Lost and delayed orders get no response.
	LoseOrders   int
	DelayOrders  int
	DoubleOrders int
	// LoseAnswers counts orders that are executed and get no response.
	LoseAnswers int
}
