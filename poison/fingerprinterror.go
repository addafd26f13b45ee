package poison

import "fmt"

// FingerprintError reports a text that is not a fingerprint.
type FingerprintError struct{ Text string }

// Error implements error.
func (fingerprintError *FingerprintError) Error() string {
	return fmt.Sprintf("%q is not a fingerprint of %d bytes in hexadecimal", fingerprintError.Text, FingerprintBytes)
}
