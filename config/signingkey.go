package config

import "time"

// SigningKeyConfig carries the fields of a [SigningKey].
type SigningKeyConfig struct {
	// ID identifies the key. The key itself is derived from the ID and a secret
	// that only the instances have.
	ID string
	// SignFrom is the time from which entries sign with the key. It has to be
	// late enough that every instance knows the key by then.
	SignFrom time.Time
	// VerifyUntil is the time until which tickets signed with the key are
	// accepted. A key is accepted for longer while it has no successor.
	VerifyUntil time.Time
}

// SigningKey is the ID and the validity period of a key that signs tickets. The
// configuration does not contain the key's bytes.
type SigningKey struct {
	config SigningKeyConfig
}

// NewSigningKey returns the signing key described by config.
func NewSigningKey(config SigningKeyConfig) SigningKey {
	config.SignFrom = config.SignFrom.UTC().Truncate(time.Millisecond)
	config.VerifyUntil = config.VerifyUntil.UTC().Truncate(time.Millisecond)
	return SigningKey{config: config}
}

// ID identifies the key.
func (signingKey SigningKey) ID() string { return signingKey.config.ID }

// SignFrom is the time from which entries sign with the key.
func (signingKey SigningKey) SignFrom() time.Time { return signingKey.config.SignFrom }

// VerifyUntil is the time until which tickets signed with the key are accepted.
func (signingKey SigningKey) VerifyUntil() time.Time { return signingKey.config.VerifyUntil }
