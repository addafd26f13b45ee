package burn

// Cause is the reason why a request missed its objective.
type Cause int

const (
	// CauseNone marks a request that met its objective.
	CauseNone Cause = iota
	// CauseQueue marks requests whose first token was late, and ones refused
	// because they would have waited too long or the server was draining.
	CauseQueue
	// CauseLoad marks requests refused because their model was not resident.
	CauseLoad
	// CauseRefusal marks requests refused because a shared service or server was
	// not available or the configuration could not be confirmed as fresh.
	CauseRefusal
	// CauseFailure marks requests that broke, passed their deadline, or were
	// refused with a code that this package does not know.
	CauseFailure
	// CauseSlow marks complete responses that were slower than the objective
	// after their first token.
	CauseSlow
	causeCount
)

// Causes returns the causes of a miss, without CauseNone.
func Causes() []Cause {
	return []Cause{CauseQueue, CauseLoad, CauseRefusal, CauseFailure, CauseSlow}
}

// String returns the name used in reports.
func (cause Cause) String() string {
	switch cause {
	case CauseNone:
		return "none"
	case CauseQueue:
		return "queue"
	case CauseLoad:
		return "load"
	case CauseRefusal:
		return "refusal"
	case CauseFailure:
		return "failure"
	case CauseSlow:
		return "slow"
	case causeCount:
		return "unknown"
	default:
		return "unknown"
	}
}
