package entry

import (
	"context"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// accountRetryAfter is when to come back for an account with too many requests.
const accountRetryAfter = time.Second

// activeRequest is one request under way.
type activeRequest struct {
	caller caller
	cancel context.CancelCauseFunc
	// outputBegun tells that output has reached the caller; guarded by flights.mu.
	outputBegun bool
}

// activeRequests is the table of requests under way at this entry.
type activeRequests struct {
	maxPerAccount int

	// mu guards all below and the fields of each flight that say so.
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

// begin adds a request, or refuses it where its account has too many.
func (activeRequests *activeRequests) begin(ctx context.Context, caller caller) (context.Context, *activeRequest, error) {
	activeRequests.mu.Lock()
	defer activeRequests.mu.Unlock()
	if activeRequests.countPerAccount[caller.account] >= activeRequests.maxPerAccount {
		return nil, nil, &call.Refusal{
			Code: call.CodeRateLimited, Message: "the account has too many requests under way here",
			Outcome: call.NotRun{}, RetryAfter: accountRetryAfter,
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	activeRequest := &activeRequest{caller: caller, cancel: cancel}
	activeRequests.requests[activeRequest] = struct{}{}
	activeRequests.countPerAccount[caller.account]++
	return ctx, activeRequest, nil
}

// end removes a request.
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

// markOutputBegun notes that output has reached the caller.
func (activeRequests *activeRequests) markOutputBegun(activeRequest *activeRequest) {
	activeRequests.mu.Lock()
	defer activeRequests.mu.Unlock()
	activeRequest.outputBegun = true
}

// recheck cancels the requests that gate no longer admits.
func (activeRequests *activeRequests) recheck(gate Gate) {
	for activeRequest, outputBegun := range activeRequests.withKeys() {
		err := gate.Recheck(activeRequest.caller.admission)
		if outputBegun {
			err = gate.Running(activeRequest.caller.admission)
		}
		if err != nil {
			activeRequest.cancel(err)
		}
	}
}

// withKeys lists the requests that were admitted by a key, with whether output has
// reached the caller.
func (activeRequests *activeRequests) withKeys() map[*activeRequest]bool {
	activeRequests.mu.Lock()
	defer activeRequests.mu.Unlock()
	keyed := make(map[*activeRequest]bool, len(activeRequests.requests))
	for activeRequest := range activeRequests.requests {
		if activeRequest.caller.hasKey {
			keyed[activeRequest] = activeRequest.outputBegun
		}
	}
	return keyed
}
