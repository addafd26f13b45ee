package config

import "fmt"

// UpdateError reports an update that was altered, or that starts from a version
// other than that of the bundle to which it was applied.
type UpdateError struct {
	// Update is the version from which the update starts. Base is the version of
	// the bundle.
	Update, Base Version
	// Part is the name of the part that does not match its hash, if any.
	Part string
}

// Error implements error.
func (updateError *UpdateError) Error() string {
	if updateError.Part != "" {
		return fmt.Sprintf("update of version %d: %s does not match its hash", updateError.Base, updateError.Part)
	}
	return fmt.Sprintf("update starts from version %d, not %d", updateError.Update, updateError.Base)
}
