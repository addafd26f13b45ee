package claim

// State is what is known of the attempt that holds a claim. The numbers are
// stored.
type State int

const (
	// StatePending means that the call may have been sent, or may yet be.
	StatePending State = iota + 1
	// StateRan means that the call ran.
	StateRan
	// StateUnknown means that the call may have been sent and its outcome is not
	// known.
	StateUnknown
	// StateReleased means that the call was never sent and never will be.
	StateReleased
)
