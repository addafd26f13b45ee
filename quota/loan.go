package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// loan is a lender's record of the tokens of one borrower. The counts only
// rise, so that late, duplicate and reordered reports are harmless.
type loan struct {
	borrower names.Instance
	lent     call.Tokens
	spent    call.Tokens
	returned call.Tokens
	// expires is when, on the lender's clock, the borrower has certainly stopped
	// spending.
	expires time.Time
}

// outstanding returns the most tokens that the borrower may still spend.
func (loan *loan) outstanding() call.Tokens { return loan.lent - loan.spent - loan.returned }
