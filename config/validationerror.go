package config

import "strings"

// ValidationError reports every fault of a configuration or change.
type ValidationError struct {
	Faults []Fault
}

// Error implements error.
func (validationError *ValidationError) Error() string {
	lines := make([]string, len(validationError.Faults))
	for i, fault := range validationError.Faults {
		lines[i] = fault.String()
	}
	return "configuration is not valid: " + strings.Join(lines, "; ")
}
