package burn

import "github.com/basilkeel/basilkeel/call"

// Counts counts the requests of one client account and kind over a period.
type Counts struct {
	total  int64
	tokens call.Tokens
	missed [causeCount]int64
}

// Total returns the number of requests that count toward the service level.
func (counts *Counts) Total() int64 { return counts.total }

// Tokens returns the number of tokens charged to the account.
func (counts *Counts) Tokens() call.Tokens { return counts.tokens }

// Missed returns the number of requests that missed their objective for cause.
func (counts *Counts) Missed(cause Cause) int64 { return counts.missed[cause] }

// TotalMissed returns the number of requests that missed their objective.
func (counts *Counts) TotalMissed() int64 {
	sum := int64(0)
	for _, cause := range Causes() {
		sum += counts.missed[cause]
	}
	return sum
}

// add adds one request. The tokens are added even if the request does not count
// toward the service level.
func (counts *Counts) add(cause Cause, counted bool, tokens call.Tokens) {
	counts.tokens += tokens
	if !counted {
		return
	}
	counts.total++
	if cause != CauseNone {
		counts.missed[cause]++
	}
}

// merge adds other to counts.
func (counts *Counts) merge(other *Counts) {
	counts.total += other.total
	counts.tokens += other.tokens
	for cause := range counts.missed {
		counts.missed[cause] += other.missed[cause]
	}
}
