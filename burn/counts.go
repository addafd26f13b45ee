package burn

import "github.com/basilkeel/basilkeel/call"

// Counts sums the requests of one client account and kind over some time.
type Counts struct {
	total  int64
	tokens call.Tokens
	missed [causeCount]int64
}

// Total counts the requests that count.
func (counts *Counts) Total() int64 { return counts.total }

// Tokens is what the account was charged.
func (counts *Counts) Tokens() call.Tokens { return counts.tokens }

// Missed counts the requests that missed their objective for cause.
func (counts *Counts) Missed(cause Cause) int64 { return counts.missed[cause] }

// TotalMissed counts the requests that missed their objective.
func (counts *Counts) TotalMissed() int64 {
	sum := int64(0)
	for _, cause := range Causes() {
		sum += counts.missed[cause]
	}
	return sum
}

// add takes in one request.
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

// merge takes in other counts.
func (counts *Counts) merge(other *Counts) {
	counts.total += other.total
	counts.tokens += other.tokens
	for cause := range counts.missed {
		counts.missed[cause] += other.missed[cause]
	}
}
