package config

import "fmt"

// ConflictError reports a change whose expected version is not the latest. It
// names the change that produced the latest version.
type ConflictError struct {
	// Expected is the version that the rejected change expected.
	Expected Version
	// Current is the latest version.
	Current Version
	// ChangeID and Operator identify the change that produced the latest version.
	ChangeID ChangeID
	Operator string
}

// Error implements error.
func (conflictError *ConflictError) Error() string {
	return fmt.Sprintf("change expects version %d, but change %q of operator %q made version %d",
		conflictError.Expected, conflictError.ChangeID, conflictError.Operator, conflictError.Current)
}
