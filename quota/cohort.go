package quota

import "github.com/basilkeel/basilkeel/call"

// cohort is the reservations made between two reports to a holder. They share
// the stamp that their refunds carry.
type cohort struct {
	// stamp is not after the lender's stamp at which the reservations were
	// counted as spent.
	stamp int64
	epoch int64
	// deferredRefund is the unused tokens of reservations that were settled while
	// the report was in progress. They are refunded once it ends.
	deferredRefund call.Tokens
}
