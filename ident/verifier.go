package ident

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// maxTicketBytes limits the size of a signed ticket.
const maxTicketBytes = 4 << 10

// VerifierConfig carries what a [Verifier] is built from.
type VerifierConfig struct {
	Keyring *Keyring
	Source  config.Source
	Clock   *clock.Service
	// Server is the backend server that the agent runs beside.
	Server names.BackendServer
	// ReplayCapacity limits the tickets that are remembered in one generation of
	// the replay cache, which covers about two ticket lifetimes. Zero means
	// [DefaultReplayCapacity].
	ReplayCapacity int
}

// Verifier checks the tickets that an agent receives. It is safe for concurrent
// use.
type Verifier struct {
	config  VerifierConfig
	started time.Time
	replays *replayCache
}

// NewVerifier returns a verifier. It refuses every ticket that was not issued
// later than [MaxClockSkew] after this call, because it cannot know which of them
// an earlier process accepted.
func NewVerifier(config VerifierConfig) *Verifier {
	if config.ReplayCapacity == 0 {
		config.ReplayCapacity = DefaultReplayCapacity
	}
	return &Verifier{config: config, started: config.Clock.Now(), replays: newReplayCache(config.ReplayCapacity)}
}

// Admit verifies signed, marks its ticket as used and returns it. A ticket is
// admitted once. Admit returns a *[TicketError] for any ticket that it refuses.
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

// Check verifies signed and returns its ticket without marking it as used, as
// for a cancellation. It returns a *[TicketError] for any ticket that it refuses.
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
	if !verifier.withinValidity(ticket, now) {
		return Ticket{}, &TicketError{Reason: ReasonExpired}
	}
	return ticket, nil
}

// withinValidity reports whether a ticket has not expired, and was issued neither
// in the future nor so early that an earlier process may have accepted it. It
// tolerates a clock skew of up to [MaxClockSkew].
func (verifier *Verifier) withinValidity(ticket Ticket, now time.Time) bool {
	issued := ticket.Expires.Add(-TicketLifetime)
	return !now.After(ticket.Expires.Add(MaxClockSkew)) &&
		!issued.After(now.Add(MaxClockSkew)) &&
		issued.After(verifier.started.Add(MaxClockSkew))
}
