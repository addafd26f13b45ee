package call

// CombineOutcomes returns the outcome of a request whose two attempts ended with
// first and second: [Run] if either ran, otherwise [Unknown] if either may have
// run, otherwise [NotRun]. A nil outcome counts as unknown.
func CombineOutcomes(first, second Outcome) Outcome {
	for _, outcome := range []Outcome{first, second} {
		if _, run := outcome.(Run); run {
			return Run{}
		}
	}
	for _, outcome := range []Outcome{first, second} {
		switch outcome.(type) {
		case NotRun:
		case Run, Unknown, nil:
			return Unknown{}
		}
	}
	return NotRun{}
}
