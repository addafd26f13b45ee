package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// upstream is a position in which an instance follows one of several peers.
type upstream struct {
	// candidates lists the peers that may be followed, the preferred one first.
	candidates []names.Instance
	// index is the position of the current candidate.
	index int
	// nextIndex is the candidate to follow next when none is followed.
	nextIndex int
	// following reports whether the current candidate is followed.
	following bool
	// chosenAt is when the current candidate was chosen, newsAt when it last sent
	// news, and anchorSentAt when it was last sent an anchor.
	chosenAt, newsAt, anchorSentAt time.Duration
	// probing reports whether the preferred candidate is followed in addition to
	// the current one; probedAt is when that was last attempted.
	probing  bool
	probedAt time.Duration
	// fresherAt is when the followed peer last sent fresher evidence.
	fresherAt time.Duration
}

// peer returns the current candidate.
func (upstream *upstream) peer() names.Instance { return upstream.candidates[upstream.index] }

// setCandidate marks the candidate at index as followed since now.
func (upstream *upstream) setCandidate(now time.Duration, index int) {
	upstream.index = index % len(upstream.candidates)
	upstream.following = true
	upstream.chosenAt, upstream.newsAt, upstream.anchorSentAt = now, now, now
}

// silent reports whether the current candidate has sent no news for too long.
func (upstream *upstream) silent(now time.Duration) bool { return now-upstream.newsAt > silenceTimeout }

// probeDue reports whether it is time to probe the preferred candidate.
func (upstream *upstream) probeDue(now time.Duration) bool {
	return upstream.index != 0 && !upstream.probing && now-max(upstream.chosenAt, upstream.probedAt) > probePeriod
}
