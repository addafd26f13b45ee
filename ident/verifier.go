package ident

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// maxTicketBytes bounds a signed ticket.
const maxTicketBytes = 4 << 10

// VerifierConfig carries what a [Verifier] is built from.
type VerifierConfig struct {
	Keyring *Keyring
	Source  config.Source
	Clock   *clock.Service
	// Server is the backend server that the agent stands beside.
	Server names.BackendServer
	// ReplayCapacity bounds the tickets remembered in the time of two ticket
	// lives; zero means [DefaultReplayCapacity].
	ReplayCapacity int
}

// Verifier checks the tickets that come to an agent. It is safe for concurrent
// use.
type Verifier struct {
	config  VerifierConfig
	started time.Time
	replays *replayCache
}

// NewVerifier returns a verifier. For [MaxClockSkew] after this it accepts nothing,
// because it cannot know what an earlier process accepted before it ended.
func NewVerifier(config VerifierConfig) *Verifier {
	if config.ReplayCapacity == 0 {
		config.ReplayCapacity = DefaultReplayCapacity
	}
	return &Verifier{config: config, started: config.Clock.Now(), replays: newReplayCache(config.ReplayCapacity)}
}

// Admit returns the ticket in signed and uses it up: it is accepted once. It
// returns a *[TicketError] for any other.
func (verifier *Verifier) Admit(signed []byte) (Ticket, error) {
	ticket, err := verifier.Check(signed)
	if err != nil {
		return Ticket{}, err
	}
	if reason := verifier.replays.add(replayKeyOf(ticket), verifier.config.Clock.Now()); reason != "" {
		return Ticket{}, &TicketError{Reason: reason}
	}
	return ticket, nil
}

// Check returns the ticket in signed without using it up, as for a
// cancellation.
func (verifier *Verifier) Check(signed []byte) (Ticket, error) {
	var message wire.SignedTicket
	if len(signed) > maxTicketBytes || proto.Unmarshal(signed, &message) != nil {
		return Ticket{}, &TicketError{Reason: ReasonMalformed}
	}
	now := verifier.config.Clock.Now()
	id := message.GetSigningKey()
	known := SigningKeyValid(signingKeys(verifier.config.Source), id, now)
	if !known || !verifier.config.Keyring.verify(id, message.GetTicket(), message.GetSignature()) {
		return Ticket{}, &TicketError{Reason: ReasonSignature}
	}
	ticket, err := decodeTicket(message.GetTicket())
	if err != nil {
		return Ticket{}, err
	}
	if ticket.Server != verifier.config.Server {
		return Ticket{}, &TicketError{Reason: ReasonServer}
	}
	if !verifier.timely(ticket, now) {
		return Ticket{}, &TicketError{Reason: ReasonExpired}
	}
	return ticket, nil
}

// timely tells whether a ticket has neither ended nor been issued in the
// future or before this process could remember it.
func (verifier *Verifier) timely(ticket Ticket, now time.Time) bool {
	issued := ticket.Expires.Add(-TicketLifetime)
	return !now.After(ticket.Expires.Add(MaxClockSkew)) &&
		!issued.After(now.Add(MaxClockSkew)) &&
		issued.After(verifier.started.Add(MaxClockSkew))
}
