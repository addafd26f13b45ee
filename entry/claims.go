package entry

import (
	"context"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/claim"
)

// Claims ensures that a call that is not idempotent runs at most once.
type Claims interface {
	// Begin decides whether a call may be sent.
	Begin(ctx context.Context, intent claim.Intent) claim.Verdict
	// Finish records the outcome of a call.
	Finish(claimed claim.Claim, outcome call.Outcome, answer claim.Answer)
	// Release withdraws the claim of a call that certainly did not run.
	Release(claimed claim.Claim)
}
