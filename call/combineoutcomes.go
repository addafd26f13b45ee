package call

// CombineOutcomes returns the outcome of a request whose attempts ended with first and
// second: run if either ran, unknown if either may have, else not run.
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
