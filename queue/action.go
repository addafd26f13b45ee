package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// Action is something that the caller of a queue must do. Its only
// implementations are [Refuse], [Stop] and [Preempt].
type Action interface{ action() }

// Refuse answers a request that is not running, as the last action on it. The
// outcome is [call.NotRun] unless the request ran before and was preempted.
type Refuse struct {
	ID      ID
	Refusal *call.Refusal
	// Estimate is the reason for the decision.
	Estimate Estimate
}

// Stop cancels a running request at the backend server. The caller then calls
// [Queue.Finish] once the slot is free.
type Stop struct{ ID ID }

// Preempt asks for the slot of a running batch request. The caller cancels the
// request at the backend server and calls [Queue.Requeue], or lets it finish.
type Preempt struct{ ID ID }

func (Refuse) action()  {}
func (Stop) action()    {}
func (Preempt) action() {}

// Estimate is what a decision on one request is based on.
type Estimate struct {
	// Wait is the expected time until the request would start.
	Wait time.Duration
	// Slack is the longest wait after which its objective can still be met.
	Slack time.Duration
	Cause Cause
}

// Cause names the reason for a refusal.
type Cause string

const (
	// CauseNone marks a request that was not refused.
	CauseNone Cause = ""
	// CauseWait means that the expected wait exceeds the slack.
	CauseWait Cause = "wait"
	// CauseShare means that the objectives of all can't be met and the request was
	// refused in favour of an account with less recent work for its weight.
	CauseShare Cause = "share"
	// CauseExpired means that the slack or the deadline has passed.
	CauseExpired Cause = "expired"
	// CauseFull means that the queue is full.
	CauseFull Cause = "full"
	// CauseCapacity means that the request can never fit on the backend server or
	// in the queue.
	CauseCapacity Cause = "capacity"
	// CauseDraining means that the server is draining.
	CauseDraining Cause = "draining"
	// CauseCancelled means that the caller cancelled the request.
	CauseCancelled Cause = "cancelled"
	// CauseDuplicate means that the attempt is already queued or running.
	CauseDuplicate Cause = "repeated"
)
