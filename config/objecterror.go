package config

import "fmt"

// ObjectError reports a stored object that is missing or does not match its
// hash.
type ObjectError struct {
	Ref     Ref
	Missing bool
}

// Error implements error.
func (objectError *ObjectError) Error() string {
	if objectError.Missing {
		return fmt.Sprintf("object %s is missing", objectError.Ref)
	}
	return fmt.Sprintf("object %s does not match its hash", objectError.Ref)
}
