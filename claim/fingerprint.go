package claim

// Fingerprint is a hash of what a call asks for. A repeat has the same one.
type Fingerprint [hashBytes]byte

// NewFingerprint returns the fingerprint of a call.
func NewFingerprint(method, path, contentType string, body []byte) Fingerprint {
	return Fingerprint(hashParts([]byte(method), []byte(path), []byte(contentType), body))
}
