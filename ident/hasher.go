package ident

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// Hasher computes the keyed hashes under which secrets are stored.
type Hasher struct {
	pepper []byte
}

// NewHasher returns a hasher that is keyed with pepper, a secret that all
// instances share.
func NewHasher(pepper []byte) *Hasher {
	return &Hasher{pepper: append([]byte(nil), pepper...)}
}

// Hash returns the HMAC-SHA256 of secret in hexadecimal digits.
func (hasher *Hasher) Hash(secret string) string {
	mac := hmac.New(sha256.New, hasher.pepper)
	mac.Write([]byte(secret))
	return hex.EncodeToString(mac.Sum(nil))
}
