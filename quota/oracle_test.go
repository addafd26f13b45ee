package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// admission is one reservation at its true time. Settlement lowers its tokens.
type admission struct {
	at     time.Duration
	tokens call.Tokens
}

// oracle checks one account's limit against all reservations at their true
// times.
type oracle struct {
	limit      Limit
	admissions []*admission
}

func (oracle *oracle) admit(at time.Duration, tokens call.Tokens) *admission {
	admitted := &admission{at: at, tokens: tokens}
	oracle.admissions = append(oracle.admissions, admitted)
	return admitted
}

// excess returns the most tokens by which any window of time exceeds what burst
// and rate allow.
func (oracle *oracle) excess() float64 {
	var level, most float64
	var last time.Duration
	for _, each := range oracle.admissions {
		level = max(0, level-(each.at-last).Seconds()*float64(oracle.limit.Rate)) + float64(each.tokens)
		last = each.at
		most = max(most, level)
	}
	return most - float64(oracle.limit.Burst)
}
