package quiz

import "strings"

// FaultsError reports every answer that is not acceptable.
type FaultsError struct {
	Faults []Fault
}

// Error implements error. It returns one line per fault.
func (faultsError *FaultsError) Error() string {
	lines := make([]string, 0, len(faultsError.Faults))
	for _, fault := range faultsError.Faults {
		lines = append(lines, fault.Question+": "+fault.Problem)
	}
	return strings.Join(lines, "\n")
}
