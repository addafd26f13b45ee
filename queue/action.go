package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// Action is what the shell around a queue must do. It is sealed: [Refuse],
// [Stop] and [Preempt] implement it.
type Action interface{ action() }

// Refuse answers a request that has no slot. It is final. Its outcome is
// [call.NotRun] unless the request was preempted before.
type Refuse struct {
	ID      ID
	Refusal *call.Refusal
	// Estimate is what the decision rests on.
	Estimate Estimate
}

// Stop cancels a running request at the backend server. The shell calls
// [Queue.Finish] once the slot is free.
type Stop struct{ ID ID }

// Preempt asks for the slot of a running batch request. The shell cancels it at
// the backend server and calls [Queue.Requeue], or lets it finish.
type Preempt struct{ ID ID }

func (Refuse) action()  {}
func (Stop) action()    {}
func (Preempt) action() {}

// Estimate is the ground of a decision on one request.
type Estimate struct {
	// Wait is the expected time until the request would start.
	Wait time.Duration
	// Slack is the longest wait after which its objective can still be met.
	Slack time.Duration
	// Cause names which bound decided.
	Cause Cause
}

// Cause names the ground of a refusal.
type Cause string

const (
	// CauseNone marks a request that was not refused.
	CauseNone Cause = ""
	// CauseWait refuses because the expected wait exceeds the slack.
	CauseWait Cause = "wait"
	// CauseShare refuses in favour of an account that lately had less for its
	// weight, where the objectives of both can't be met.
	CauseShare Cause = "share"
	// CauseExpired refuses because the slack has passed.
	CauseExpired Cause = "expired"
	// CauseFull refuses because the queue holds as much as it may.
	CauseFull Cause = "full"
	// CauseCapacity refuses what the backend server can never hold.
	CauseCapacity Cause = "capacity"
	// CauseDraining refuses because the server is leaving.
	CauseDraining Cause = "draining"
	// CauseCancelled refuses because the caller has gone.
	CauseCancelled Cause = "cancelled"
	// CauseDuplicate refuses an attempt that is already in the queue.
	CauseDuplicate Cause = "repeated"
)
