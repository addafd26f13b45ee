package poison

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/basilkeel/basilkeel/names"
)

// FingerprintBytes is the size of a [Fingerprint].
const FingerprintBytes = 16

// Fingerprint identifies requests that look the same to a backend server.
type Fingerprint [FingerprintBytes]byte

// NewFingerprint returns the fingerprint of a request of account with body on
// route, which is a model or a service's path, for example.
func NewFingerprint(account names.ClientAccount, route string, body []byte) Fingerprint {
	digest := sha256.New()
	// Writing to a hash never returns an error.
	_, _ = digest.Write([]byte(account))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(route))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// String returns the hexadecimal form that logs show and operators enter.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// ParseFingerprint is the inverse of [Fingerprint.String]. It returns a
// *[FingerprintError] if text is not a fingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != FingerprintBytes {
		return Fingerprint{}, &FingerprintError{Text: text}
	}
	return Fingerprint(data), nil
}
