package route

import "fmt"

// UnavailableError is returned when no server is available for a target.
type UnavailableError struct {
	Target Target
	// Replicas counts the servers in the plan, Tried the servers that the query
	// excludes, and Leaving those that take no new requests.
	Replicas int
	Tried    int
	Leaving  int
}

// Error implements error.
func (unavailableError *UnavailableError) Error() string {
	return fmt.Sprintf("no server for %s%s: %d in the plan, %d tried, %d leaving",
		unavailableError.Target.Model, unavailableError.Target.Service,
		unavailableError.Replicas, unavailableError.Tried, unavailableError.Leaving)
}
