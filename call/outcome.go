package call

// Outcome states whether a backend server ran a request.
// It is sealed: only [Run], [NotRun] and [Unknown] implement it.
//
//sumtype:decl
type Outcome interface {
	// String returns the name used in the interface to callers.
	String() string
	outcome()
}

// Run means that a backend server ran the request.
type Run struct{}

// NotRun means that no backend server has run the request and none will.
// It must be used only if this is certain.
type NotRun struct{}

// Unknown means that the request may or may not have run.
type Unknown struct{}

func (Run) outcome()     {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// String implements [Outcome].
func (Run) String() string { return "run" }

// String implements [Outcome].
func (NotRun) String() string { return "notRun" }

// String implements [Outcome].
func (Unknown) String() string { return "unknown" }

// ParseOutcome is the inverse of [Outcome.String]. It returns [Unknown] for
// unrecognized names, as that is the only outcome that asserts nothing.
func ParseOutcome(name string) Outcome {
	switch name {
	case Run{}.String():
		return Run{}
	case NotRun{}.String():
		return NotRun{}
	default:
		return Unknown{}
	}
}
