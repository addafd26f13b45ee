package ident

import "fmt"

// TicketError reports a ticket that was refused.
type TicketError struct {
	// Reason is one of the Reason constants.
	Reason TicketReason
}

// TicketReason is the reason why a ticket was refused.
type TicketReason string

const (
	// ReasonMalformed means that the bytes are not a ticket.
	ReasonMalformed TicketReason = "malformed"
	// ReasonSignature means that the signature does not match, or that the
	// signing key is unknown or no longer valid.
	ReasonSignature TicketReason = "signature"
	// ReasonExpired means that the ticket has expired, was issued in the future,
	// or may have been used before this process started.
	ReasonExpired TicketReason = "expired"
	// ReasonServer means that the ticket was issued for another backend server.
	ReasonServer TicketReason = "server"
	// ReasonReplayed means that the ticket was used before.
	ReasonReplayed TicketReason = "replayed"
	// ReasonCapacity means that too many tickets were used recently to remember
	// another one.
	ReasonCapacity TicketReason = "capacity"
)

// Error implements error.
func (ticketError *TicketError) Error() string {
	return fmt.Sprintf("ticket refused: %s", ticketError.Reason)
}
