package setup

import (
	"fmt"
	"strings"
)

// Fault is one invalid setting.
type Fault struct {
	// Flag is the flag's name without dashes.
	Flag string
	// Problem says what is wrong and what is expected.
	Problem string
}

// ValidationError reports every invalid setting.
type ValidationError struct {
	Faults []Fault
}

// Error implements error. The message has one line per fault.
func (validationError *ValidationError) Error() string {
	lines := make([]string, 0, len(validationError.Faults))
	for _, fault := range validationError.Faults {
		lines = append(lines, fmt.Sprintf("--%s: %s", fault.Flag, fault.Problem))
	}
	return strings.Join(lines, "\n")
}
