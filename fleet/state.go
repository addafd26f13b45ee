package fleet

// State is an instance's lifecycle state.
type State string

const (
	// StateLive instances accept work.
	StateLive State = "live"
	// StateLeaving instances finish their work and accept no more.
	StateLeaving State = "leaving"
	// StateFailed instances are unreachable, and are on the platform's instance
	// list or were until recently.
	StateFailed State = "failed"
)
