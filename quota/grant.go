package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Grant is a holder's answer to an [Ask].
type Grant struct {
	Account names.ClientAccount
	// Epoch is the epoch of the holder that lends.
	Epoch int64
	Loan  int64
	// Lent is the total since the loan was opened.
	Lent call.Tokens
	// Lease is how long the loan may be spent, counted on the borrower's clock
	// from before it sent the request.
	Lease time.Duration
	// Stamp is the point of the portion's history at which the report was counted.
	Stamp int64
	// Batch is the last batch of refunds that was applied.
	Batch int64
	// Available is the number of tokens that the portion can still lend.
	Available call.Tokens
}
