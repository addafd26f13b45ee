package agent

import (
	"context"
	"errors"
	"testing"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/engine"
)

// TestNotRunOnlyIfProven covers the ways in which a backend server can fail. It
// guards against a request that may have run being reported as not run.
func TestNotRunOnlyIfProven(t *testing.T) {
	cause := errors.New("cause")
	tables := []struct {
		err     error
		code    call.Code
		outcome call.Outcome
	}{
		{&engine.SendError{MaybeSent: false, Cause: cause}, call.CodeUnavailable, call.NotRun{}},
		{&engine.SendError{MaybeSent: true, Cause: cause}, call.CodeBroken, call.Unknown{}},
		{&engine.BrokenError{Pieces: 3, Cause: cause}, call.CodeBroken, call.Unknown{}},
		{&engine.StatusError{Status: 404}, call.CodeLoading, call.NotRun{}},
		{&engine.StatusError{Status: 429}, call.CodeOverloaded, call.NotRun{}},
		{&engine.StatusError{Status: 503}, call.CodeOverloaded, call.NotRun{}},
		{&engine.StatusError{Status: 500}, call.CodeBroken, call.Unknown{}},
		{context.DeadlineExceeded, call.CodeDeadline, call.Unknown{}},
		{context.Canceled, call.CodeCancelled, call.Unknown{}},
		{cause, call.CodeBroken, call.Unknown{}},
		{&call.Refusal{Code: call.CodeDraining, Outcome: call.NotRun{}}, call.CodeDraining, call.NotRun{}},
	}
	for _, table := range tables {
		refusal := refusalOf(table.err)
		if refusal.Code != table.code || refusal.OutcomeOrUnknown() != table.outcome {
			t.Errorf("%v: %s %s, expected %s %s", table.err, refusal.Code, refusal.OutcomeOrUnknown(), table.code, table.outcome)
		}
	}
}
