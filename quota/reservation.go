package quota

import (
	"sync/atomic"

	"github.com/basilkeel/basilkeel/call"
)

// Reservation is the tokens of its account's rate and burst that one request
// has reserved.
type Reservation struct {
	client  *Client
	account *account
	parts   []Part
	tokens  call.Tokens
	settled atomic.Bool
}

// Tokens returns the number of reserved tokens.
func (reservation *Reservation) Tokens() call.Tokens { return reservation.tokens }

// Settle returns the tokens that the request did not use. Only the first call
// has an effect. If used exceeds the reserved tokens, nothing is returned.
func (reservation *Reservation) Settle(used call.Tokens) {
	if reservation.settled.Swap(true) {
		return
	}
	if reservation.account == nil {
		return
	}
	unused := max(0, reservation.tokens-max(0, used))
	reservation.account.settle(reservation.client.config.Clock.Now(), reservation.parts, unused)
}
