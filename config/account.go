package config

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// ClientAccountConfig carries the fields of a [ClientAccount].
type ClientAccountConfig struct {
	Name names.ClientAccount
	// Rate limits the account's tokens per second across all instances.
	Rate call.TokenRate
	// Burst limits the tokens that the account may use at once.
	Burst call.Tokens
	// Weight is the account's share under contention, relative to the others.
	Weight int
}

// ClientAccount is a tenant. It is immutable.
type ClientAccount struct {
	config ClientAccountConfig
}

// NewClientAccount returns the account described by config.
func NewClientAccount(config ClientAccountConfig) ClientAccount {
	return ClientAccount{config: config}
}

// Name identifies the account.
func (clientAccount ClientAccount) Name() names.ClientAccount { return clientAccount.config.Name }

// Rate limits the account's tokens per second across all instances.
func (clientAccount ClientAccount) Rate() call.TokenRate { return clientAccount.config.Rate }

// Burst limits the tokens that the account may use at once.
func (clientAccount ClientAccount) Burst() call.Tokens { return clientAccount.config.Burst }

// Weight is the account's share under contention, relative to the others.
func (clientAccount ClientAccount) Weight() int { return clientAccount.config.Weight }
