package route

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// Load is an agent's report of its queue.
type Load struct {
	// Sequence increases with each report of one server. Agents start it from
	// their clock, so that it also increases over a restart.
	Sequence int64
	Queued   int
	Running  int
	// FirstToken is the expected time to the first token of a new interactive
	// request.
	FirstToken time.Duration
	// Draining is true if the server takes no new requests.
	Draining bool
}

// Observation is what an entry learned from one attempt.
type Observation struct {
	Target Target
	// Load is nil if the attempt carried no load report.
	Load *Load
	// FirstToken is the time from sending the request to the first part of the
	// answer; zero means not measured.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; zero means not measured.
	TokenGap time.Duration
	// Code is the reason for a refusal or failure; empty for an answer.
	Code call.Code
	// Outcome tells whether a failed attempt ran, as far as is known.
	Outcome call.Outcome
}
