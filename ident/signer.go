package ident

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// TicketLifetime is the time from the issue of a ticket to its expiry.
	TicketLifetime = 5 * time.Second
	// MaxClockSkew is the tolerated difference between the wall clocks of two
	// instances.
	MaxClockSkew = 2 * time.Second
)

// SignerConfig carries what a [Signer] is built from.
type SignerConfig struct {
	Keyring *Keyring
	Source  config.Source
	Clock   *clock.Service
}

// Signer issues the tickets of an entry. It is safe for concurrent use.
type Signer struct {
	config SignerConfig
}

// NewSigner returns a signer.
func NewSigner(config SignerConfig) *Signer { return &Signer{config: config} }

// Sign sets the expiry of ticket and returns the ticket in signed form.
func (signer *Signer) Sign(ticket Ticket) ([]byte, error) {
	now := signer.config.Clock.Now()
	ticket.Expires = now.Add(TicketLifetime)
	encoded, err := encodeTicket(ticket)
	if err != nil {
		return nil, err
	}
	key := currentSigningKey(signingKeys(signer.config.Source), now)
	signature, err := signer.config.Keyring.sign(key, encoded)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.SignedTicket{SigningKey: key, Ticket: encoded, Signature: signature})
}

func signingKeys(source config.Source) []config.SigningKey {
	snapshot := source.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.SigningKeys()
}
