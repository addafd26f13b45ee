package quiz

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// Delay holds the latency bounds of one kind of request. Zero means no bound.
type Delay struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Whole         time.Duration
	// Percent is the percentage of requests that must meet the bounds.
	Percent float64
}

func (delay Delay) objective() call.Objective {
	return call.NewObjective(call.ObjectiveConfig{
		FirstToken: delay.FirstToken, BetweenTokens: delay.BetweenTokens, Whole: delay.Whole, Share: delay.Percent / percent,
	})
}
