package config

import (
	"crypto/sha256"
	"encoding/base64"
)

// Hash identifies a stored object by its content: the SHA-256 sum in URL-safe
// base64 without padding.
type Hash string

// HashOf returns the hash of content.
func HashOf(content []byte) Hash {
	sum := sha256.Sum256(content)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:]))
}
