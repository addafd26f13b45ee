package demo

import "time"

// answer is the response that a caller received.
type answer struct {
	status int
	body   string
	// firstByte is the time to the start of the response, total the time to the
	// end of its body.
	firstByte time.Duration
	total     time.Duration
}
