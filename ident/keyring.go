package ident

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/basilkeel/basilkeel/config"
)

const (
	// initialKeyID is the ID of the signing key that is used until the first one
	// from the configuration.
	initialKeyID = ""
	// SigningOverlap is the minimum time for which tickets of a key are still
	// accepted once its successor signs. It covers the time until every entry
	// knows the successor, the lifetime of a ticket, and the clock skew.
	SigningOverlap = time.Minute
	// keyInfoPrefix begins the HKDF info parameter. It binds derived keys to
	// their use.
	keyInfoPrefix = "basilkeel ticket signing key "
)

// KeyringConfig carries what a [Keyring] is built from.
type KeyringConfig struct {
	// Secrets are secrets that all instances share. The first one signs and all
	// of them verify, so that a rollout can replace a secret instance by instance.
	Secrets [][]byte
}

// Keyring derives the signing keys whose IDs are in the configuration. The store
// holds the IDs and validity periods of the keys, never the keys themselves. It
// is safe for concurrent use.
type Keyring struct {
	secrets [][]byte
}

// NewKeyring returns a keyring.
func NewKeyring(config KeyringConfig) *Keyring { return &Keyring{secrets: config.Secrets} }

// sign returns the signature of content with the key id.
func (keyring *Keyring) sign(id string, content []byte) ([]byte, error) {
	if len(keyring.secrets) == 0 {
		return nil, &TicketError{Reason: ReasonSignature}
	}
	return computeSignature(keyring.secrets[0], id, content)
}

// verify reports whether presented is a signature of content with the key id.
func (keyring *Keyring) verify(id string, content, presented []byte) bool {
	for _, secret := range keyring.secrets {
		expected, err := computeSignature(secret, id, content)
		if err == nil && hmac.Equal(expected, presented) {
			return true
		}
	}
	return false
}

// computeSignature returns the HMAC-SHA256 of content with the key that is
// derived from secret and id.
func computeSignature(secret []byte, id string, content []byte) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, keyInfoPrefix+id, sha256.Size)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(content)
	return mac.Sum(nil), nil
}

// currentSigningKey returns the ID of the key to sign with, which is the one
// with the latest SignFrom that is not after now.
func currentSigningKey(keys []config.SigningKey, now time.Time) string {
	chosen, began := initialKeyID, time.Time{}
	for _, key := range keys {
		if !key.SignFrom().After(now) && key.SignFrom().After(began) {
			chosen, began = key.ID(), key.SignFrom()
		}
	}
	return chosen
}

// SigningKeyValid reports whether tickets signed with the key id are accepted at
// now. A key of the configuration is valid until its VerifyUntil has passed and
// a successor has signed for [SigningOverlap]. A key without a successor does
// not expire, because there would be no other key to sign with.
func SigningKeyValid(keys []config.SigningKey, id string, now time.Time) bool {
	key, ok := config.SigningKey{}, id == initialKeyID
	for _, candidate := range keys {
		if candidate.ID() == id {
			key, ok = candidate, true
		}
	}
	return ok && (now.Before(key.VerifyUntil()) || !superseded(keys, key, now))
}

// superseded reports whether a successor of key has signed for more than
// [SigningOverlap].
func superseded(keys []config.SigningKey, key config.SigningKey, now time.Time) bool {
	for _, other := range keys {
		if other.SignFrom().After(key.SignFrom()) && now.After(other.SignFrom().Add(SigningOverlap)) {
			return true
		}
	}
	return false
}
