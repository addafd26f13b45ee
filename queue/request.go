package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// request is an item that waits or runs.
type request struct {
	item     Item
	sequence uint64
	// due is the latest start at which the objective and the deadline can be met;
	// zero means none.
	due time.Time
	// rank orders the requests of a flow, and those of eligible flows in a class;
	// the lowest goes first.
	rank int64
	// cost is the expected work, in output tokens.
	cost float64
	// usage is what the request added to its flow's usage.
	usage float64
	// slack is the time from the offer until due.
	slack time.Duration
	// expectedOutput is the expected number of output tokens.
	expectedOutput float64

	flow  *flow
	class *class
	// flowPosition and expiryPosition are the positions in the flow's requests and
	// in the class's expiry.
	flowPosition   int
	expiryPosition int

	running bool
	// ran is true if the request was preempted after it had started.
	ran bool
	// cancelled is true if the request was stopped or aborted.
	cancelled  bool
	started    time.Time
	firstToken time.Time
	lastToken  time.Time
	// tokens counts the output since the request last started.
	tokens call.Tokens
	// batchSize is the number of running requests, including this one, when it
	// started.
	batchSize int
	// preemptions counts the times that preemption was requested, and
	// preemptRequested is true while it is.
	preemptions      int
	preemptRequested bool
	// preemptiblePosition is the position in the queue's preemptible.
	preemptiblePosition int
}

// earlier orders requests by rank and then by arrival in the queue.
func earlier(left, right *request) bool {
	if left.rank != right.rank {
		return left.rank < right.rank
	}
	return left.sequence < right.sequence
}

func expiresEarlier(left, right *request) bool { return left.due.Before(right.due) }
