package quota

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Ask reports an entry's use of one account to a seat's holder, and requests
// tokens from it.
type Ask struct {
	Account names.ClientAccount
	// Epoch is the holder's epoch that Loan and Refunds belong to.
	Epoch int64
	// Loan is the loan that Spent and Returned belong to; zero opens a new one.
	Loan int64
	// Spent and Returned are totals since the loan was opened.
	Spent    call.Tokens
	Returned call.Tokens
	// Need is the number of tokens that requests wait for. Prefetch is the number
	// requested in advance of need.
	Need     call.Tokens
	Prefetch call.Tokens
	// Partial allows a grant of less than Need.
	Partial bool
	// Batch is the sequence number of Refunds; each batch is applied once.
	Batch   int64
	Refunds []Refund
}
