package quota

import "github.com/basilkeel/basilkeel/call"

// cohort is the set of reservations between two reports to a home. They share
// the stamp that their refunds carry.
type cohort struct {
	// stamp is never after the home's stamp at which the reservations counted.
	stamp int64
	epoch int64
	// deferredRefund is what was settled while the report was under way.
	deferredRefund call.Tokens
}
