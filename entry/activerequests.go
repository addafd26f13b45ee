package entry

import (
	"context"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// accountLimitRetryAfter is the retry delay sent to an account that has too
// many requests in progress.
const accountLimitRetryAfter = time.Second

// activeRequest is one request in progress.
type activeRequest struct {
	caller caller
	cancel context.CancelCauseFunc
	// outputBegun reports whether sending output to the caller has begun; guarded
	// by activeRequests.mu.
	outputBegun bool
}

// activeRequests is the table of requests in progress at this entry.
type activeRequests struct {
	maxPerAccount int

	// mu guards the fields below and activeRequest.outputBegun.
	mu              sync.Mutex
	requests        map[*activeRequest]struct{}
	countPerAccount map[names.ClientAccount]int
}

func newActiveRequests(maxPerAccount int) *activeRequests {
	return &activeRequests{
		maxPerAccount:   maxPerAccount,
		requests:        make(map[*activeRequest]struct{}),
		countPerAccount: make(map[names.ClientAccount]int),
	}
}

// begin adds a request, or refuses it if its account has too many in progress.
// The returned context ends when the request is canceled.
func (activeRequests *activeRequests) begin(ctx context.Context, caller caller) (context.Context, *activeRequest, error) {
	activeRequests.mu.Lock()
	defer activeRequests.mu.Unlock()
	if activeRequests.countPerAccount[caller.account] >= activeRequests.maxPerAccount {
		return nil, nil, &call.Refusal{
			Code: call.CodeRateLimited, Message: "the account has too many requests under way here",
			Outcome: call.NotRun{}, RetryAfter: accountLimitRetryAfter,
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	activeRequest := &activeRequest{caller: caller, cancel: cancel}
	activeRequests.requests[activeRequest] = struct{}{}
	activeRequests.countPerAccount[caller.account]++
	return ctx, activeRequest, nil
}

// end cancels the context of a request and removes the request.
func (activeRequests *activeRequests) end(activeRequest *activeRequest) {
	activeRequest.cancel(nil)
	activeRequests.mu.Lock()
	defer activeRequests.mu.Unlock()
	delete(activeRequests.requests, activeRequest)
	activeRequests.countPerAccount[activeRequest.caller.account]--
	if activeRequests.countPerAccount[activeRequest.caller.account] == 0 {
		delete(activeRequests.countPerAccount, activeRequest.caller.account)
	}
}

// markOutputBegun records that output is being sent to the caller.
func (activeRequests *activeRequests) markOutputBegun(activeRequest *activeRequest) {
	activeRequests.mu.Lock()
	defer activeRequests.mu.Unlock()
	activeRequest.outputBegun = true
}

// recheck cancels the requests that gate no longer admits. Requests that have
// produced output are checked with [Gate.CheckRunning], all others with
// [Gate.Recheck].
func (activeRequests *activeRequests) recheck(gate Gate) {
	for activeRequest, outputBegun := range activeRequests.withKeys() {
		err := gate.Recheck(activeRequest.caller.admission)
		if outputBegun {
			err = gate.CheckRunning(activeRequest.caller.admission)
		}
		if err != nil {
			activeRequest.cancel(err)
		}
	}
}

// withKeys returns the requests that were admitted by a key, each with its
// outputBegun.
func (activeRequests *activeRequests) withKeys() map[*activeRequest]bool {
	activeRequests.mu.Lock()
	defer activeRequests.mu.Unlock()
	requests := make(map[*activeRequest]bool, len(activeRequests.requests))
	for activeRequest := range activeRequests.requests {
		if activeRequest.caller.hasKey {
			requests[activeRequest] = activeRequest.outputBegun
		}
	}
	return requests
}
