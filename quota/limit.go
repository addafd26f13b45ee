package quota

import "github.com/basilkeel/basilkeel/call"

// Limit is the rate and burst of a client account.
type Limit struct {
	Rate  call.TokenRate
	Burst call.Tokens
}

// portion returns one seat's part of the limit.
func (limit Limit) portion() (rate, capacity float64) {
	return float64(limit.Rate) / Seats, float64(limit.Burst) / Seats
}

// largest returns the most tokens that one request can reserve: the sum of the
// portions, each rounded down.
func (limit Limit) largest() call.Tokens { return limit.Burst / Seats * Seats }
