package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

// timing measures the replies of one attempt.
type timing struct {
	clock      *clock.Service
	started    time.Time
	first      time.Time
	latest     time.Time
	replies    int
	firstReply time.Duration
}

// recordReply records the time of a reply of the agent.
func (timing *timing) recordReply() {
	timing.latest = timing.clock.Now()
	if timing.replies == 0 {
		timing.first = timing.latest
		timing.firstReply = timing.latest.Sub(timing.started)
	}
	timing.replies++
}

// meanGap returns the mean time between two replies; zero if there were fewer
// than two.
func (timing *timing) meanGap() time.Duration {
	if timing.replies < 2 {
		return 0
	}
	return timing.latest.Sub(timing.first) / time.Duration(timing.replies-1)
}
