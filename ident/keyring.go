package ident

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/basilkeel/basilkeel/config"
)

const (
	// initialKey names the signing key that is used before the operators'
	// first one.
	initialKey = ""
	// SigningOverlap is how long tickets of a key are accepted at least after
	// its successor signs. It covers the time in which every entry learns of the
	// successor, the life of a ticket, and the difference between clocks.
	SigningOverlap = time.Minute
	// derivation binds derived keys to their use.
	derivation = "basilkeel ticket signing key "
)

// KeyringConfig carries what a [Keyring] is built from.
type KeyringConfig struct {
	// Secrets are secrets of the fleet. The first signs, all verify, so that a
	// roll-out can replace them one by one.
	Secrets [][]byte
}

// Keyring derives the signing keys that a configuration names. The store holds
// the names and periods of keys, never the keys. It is safe for concurrent use.
type Keyring struct {
	secrets [][]byte
}

// NewKeyring returns a keyring.
func NewKeyring(config KeyringConfig) *Keyring { return &Keyring{secrets: config.Secrets} }

// sign returns the signature of content under the key called id.
func (keyring *Keyring) sign(id string, content []byte) ([]byte, error) {
	if len(keyring.secrets) == 0 {
		return nil, &TicketError{Reason: ReasonSignature}
	}
	return signature(keyring.secrets[0], id, content)
}

// verify tells whether a signature of content was made under the key called id.
func (keyring *Keyring) verify(id string, content, presented []byte) bool {
	for _, secret := range keyring.secrets {
		expected, err := signature(secret, id, content)
		if err == nil && hmac.Equal(expected, presented) {
			return true
		}
	}
	return false
}

func signature(secret []byte, id string, content []byte) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, derivation+id, sha256.Size)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(content)
	return mac.Sum(nil), nil
}

// signingKey returns the id of the key to sign with: of those that sign
// already, the one that began last.
func signingKey(keys []config.SigningKey, now time.Time) string {
	chosen, began := initialKey, time.Time{}
	for _, key := range keys {
		if !key.SignFrom().After(now) && key.SignFrom().After(began) {
			chosen, began = key.ID(), key.SignFrom()
		}
	}
	return chosen
}

// SigningKeyValid tells whether tickets of the key called id are accepted: until its
// end and until its successor has signed for [SigningOverlap]. A key without a
// successor does not end, for then nothing could be signed.
func SigningKeyValid(keys []config.SigningKey, id string, now time.Time) bool {
	key, ok := config.SigningKey{}, id == initialKey
	for _, candidate := range keys {
		if candidate.ID() == id {
			key, ok = candidate, true
		}
	}
	return ok && (now.Before(key.VerifyUntil()) || !succeeded(keys, key, now))
}

// succeeded tells whether a later key has signed for [SigningOverlap].
func succeeded(keys []config.SigningKey, key config.SigningKey, now time.Time) bool {
	for _, other := range keys {
		if other.SignFrom().After(key.SignFrom()) && now.After(other.SignFrom().Add(SigningOverlap)) {
			return true
		}
	}
	return false
}
