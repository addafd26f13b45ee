package claim

// Fingerprint is a hash of a call's method, path, content type and body. A
// repeat of the call has the same one.
type Fingerprint [hashBytes]byte

// NewFingerprint returns the fingerprint of a call.
func NewFingerprint(method, path, contentType string, body []byte) Fingerprint {
	return Fingerprint(hashParts([]byte(method), []byte(path), []byte(contentType), body))
}
