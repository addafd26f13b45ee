package config

import "github.com/basilkeel/basilkeel/names"

// KeyConfig carries the fields of a [Key].
type KeyConfig struct {
	Name    names.Key
	Account names.ClientAccount
	// Hash is the keyed hash of the secret, in hexadecimal digits.
	Hash string
	// Withdrawn reports whether the key has stopped admitting requests.
	Withdrawn bool
}

// Key admits requests on behalf of a client account. It contains a keyed hash
// of the secret, not the secret itself.
type Key struct {
	config KeyConfig
}

// NewKey returns the key described by config.
func NewKey(config KeyConfig) Key { return Key{config: config} }

// Name identifies the key.
func (key Key) Name() names.Key { return key.config.Name }

// Account is the client account that the key belongs to.
func (key Key) Account() names.ClientAccount { return key.config.Account }

// Hash is the keyed hash of the secret, in hexadecimal digits.
func (key Key) Hash() string { return key.config.Hash }

// Withdrawn reports whether the key has stopped admitting requests.
func (key Key) Withdrawn() bool { return key.config.Withdrawn }
