package ident

import (
	"crypto/rand"
	"encoding/base64"
)

const (
	// SecretPrefix begins every secret that the system issues, so that secrets
	// can be recognized and redacted.
	SecretPrefix = "bk_"
	// secretBytes is the number of random bytes in a secret.
	secretBytes = 32
	// minSecretBytes is the minimum length of a presented secret to search for it
	// in a forwarded request. Issued secrets are longer.
	minSecretBytes = 8
)

// NewSecret returns a new random secret.
func NewSecret() string {
	random := make([]byte, secretBytes)
	// Read never fails. It ends the process if the system has no randomness.
	_, _ = rand.Read(random)
	return SecretPrefix + base64.RawURLEncoding.EncodeToString(random)
}
