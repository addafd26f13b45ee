package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// loan is what a home knows of the tokens that one borrower holds. The counts
// only rise, so late, doubled and reordered reports do no harm.
type loan struct {
	borrower names.Instance
	lent     call.Tokens
	spent    call.Tokens
	returned call.Tokens
	// expires is when, by the home's clock, the borrower has surely stopped.
	expires time.Time
}

// outstanding bounds what the borrower may still spend.
func (loan *loan) outstanding() call.Tokens { return loan.lent - loan.spent - loan.returned }
