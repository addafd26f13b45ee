package entry

import (
	"context"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Quota enforces the rate and burst limits of accounts across all instances.
type Quota interface {
	// Reserve reserves tokens, or returns a *call.Refusal with a retry delay.
	Reserve(ctx context.Context, account names.ClientAccount, tokens call.Tokens) (Reservation, error)
}

// Reservation is a number of tokens reserved until a request has ended.
type Reservation interface {
	// Settle releases the reserved tokens beyond used.
	Settle(used call.Tokens)
}
