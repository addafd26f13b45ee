package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// upstream is one peer that an instance follows, with its substitutes.
type upstream struct {
	candidates []names.Instance
	// index is the candidate that is followed.
	index int
	// nextIndex is the candidate to try when none is followed.
	nextIndex int
	// following tells that the candidate is followed.
	following bool
	// chosenAt is when the candidate was chosen, heard when it last sent news,
	// anchored when it was last sent an anchor.
	chosenAt, newsAt, anchorSentAt time.Duration
	// probing tells that the first candidate is tried besides, since triedAt.
	probing  bool
	probedAt time.Duration
	// fresherAt is when the peer last brought fresher evidence.
	fresherAt time.Duration
}

func (upstream *upstream) peer() names.Instance { return upstream.candidates[upstream.index] }

// setCandidate begins with the candidate at index.
func (upstream *upstream) setCandidate(now time.Duration, index int) {
	upstream.index = index % len(upstream.candidates)
	upstream.following = true
	upstream.chosenAt, upstream.newsAt, upstream.anchorSentAt = now, now, now
}

// silent tells that the peer sends nothing.
func (upstream *upstream) silent(now time.Duration) bool { return now-upstream.newsAt > silenceTimeout }

// probeDue tells that it is time to try the first choice again.
func (upstream *upstream) probeDue(now time.Duration) bool {
	return upstream.index != 0 && !upstream.probing && now-max(upstream.chosenAt, upstream.probedAt) > probePeriod
}
