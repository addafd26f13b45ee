package entry

import (
	"context"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// crowdedRetryAfter is when to come back for an account with too many requests.
const crowdedRetryAfter = time.Second

// flight is one request under way.
type flight struct {
	caller caller
	cancel context.CancelCauseFunc
	// begun tells that output has reached the caller; guarded by flights.mu.
	begun bool
}

// flights is the table of requests under way at this entry.
type flights struct {
	perAccount int

	// mu guards all below and the fields of each flight that say so.
	mu      sync.Mutex
	live    map[*flight]struct{}
	account map[names.ClientAccount]int
}

func newFlights(perAccount int) *flights {
	return &flights{
		perAccount: perAccount,
		live:       make(map[*flight]struct{}),
		account:    make(map[names.ClientAccount]int),
	}
}

// begin adds a request, or refuses it where its account has too many.
func (flights *flights) begin(ctx context.Context, caller caller) (context.Context, *flight, error) {
	flights.mu.Lock()
	defer flights.mu.Unlock()
	if flights.account[caller.account] >= flights.perAccount {
		return nil, nil, &call.Refusal{
			Code: call.CodeRateLimited, Message: "the account has too many requests under way here",
			Outcome: call.NotRun{}, RetryAfter: crowdedRetryAfter,
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	current := &flight{caller: caller, cancel: cancel}
	flights.live[current] = struct{}{}
	flights.account[caller.account]++
	return ctx, current, nil
}

// end removes a request.
func (flights *flights) end(current *flight) {
	current.cancel(nil)
	flights.mu.Lock()
	defer flights.mu.Unlock()
	delete(flights.live, current)
	flights.account[current.caller.account]--
	if flights.account[current.caller.account] == 0 {
		delete(flights.account, current.caller.account)
	}
}

// mark notes that output has reached the caller.
func (flights *flights) mark(current *flight) {
	flights.mu.Lock()
	defer flights.mu.Unlock()
	current.begun = true
}

// recheck cancels the requests that gate no longer admits.
func (flights *flights) recheck(gate Gate) {
	for current, begun := range flights.keyed() {
		err := gate.Recheck(current.caller.admission)
		if begun {
			err = gate.CheckRunning(current.caller.admission)
		}
		if err != nil {
			current.cancel(err)
		}
	}
}

// keyed lists the requests that were admitted by a key, with whether output has
// reached the caller.
func (flights *flights) keyed() map[*flight]bool {
	flights.mu.Lock()
	defer flights.mu.Unlock()
	keyed := make(map[*flight]bool, len(flights.live))
	for each := range flights.live {
		if each.caller.keyed {
			keyed[each] = each.begun
		}
	}
	return keyed
}
