package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// request is an item in the queue or running.
type request struct {
	item     Item
	sequence uint64
	// due is the latest start at which the objective can be met; zero means none.
	due time.Time
	// rank orders requests of one account and, among accounts in their share,
	// of one class.
	rank int64
	// cost is the expected work, in output tokens.
	cost float64
	// usage is what was added to the account's usage.
	usage float64
	slack time.Duration
	// expectedOutput is the expected output.
	expectedOutput float64

	flow  *flow
	class *class
	// flowPosition and inExpiry are positions in the heaps of the share and the class.
	flowPosition   int
	expiryPosition int

	running bool
	// ran tells that a preempted request was already at the backend server.
	ran                 bool
	cancelled           bool
	started             time.Time
	firstToken          time.Time
	lastToken           time.Time
	tokens              call.Tokens
	batchSize           int
	preemptions         int
	preemptRequested    bool
	preemptiblePosition int
}

func earlier(left, right *request) bool {
	if left.rank != right.rank {
		return left.rank < right.rank
	}
	return left.sequence < right.sequence
}

func expiresEarlier(left, right *request) bool { return left.due.Before(right.due) }
