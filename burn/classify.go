package burn

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// classify returns why a sample missed its objective, and whether the sample
// counts at all.
func classify(sample Sample, objective call.Objective) (cause Cause, counts bool) {
	if sample.Refusal != nil {
		return classifyRefusal(sample.Refusal.Code)
	}
	if exceeds(sample.FirstToken, objective.FirstToken()) {
		return CauseQueue, true
	}
	if exceeds(sample.LargestGap, objective.BetweenTokens()) || exceeds(sample.Whole, objective.Whole()) {
		return CauseSlow, true
	}
	return CauseNone, true
}

func classifyRefusal(code call.Code) (cause Cause, counts bool) {
	switch code {
	case call.CodeOverloaded, call.CodeDraining:
		return CauseQueue, true
	case call.CodeLoading:
		return CauseLoad, true
	case call.CodeUnavailable, call.CodeStale:
		return CauseRefusal, true
	case call.CodeBroken, call.CodeDeadline:
		return CauseFailure, true
	case call.CodeBadRequest, call.CodeTooLarge, call.CodeUnsupportedMedia, call.CodeUnauthorized, call.CodeNotFound,
		call.CodeRateLimited, call.CodeQuarantined, call.CodeConflict, call.CodeCancelled:
		return CauseNone, false
	default:
		return CauseFailure, true
	}
}

// exceeds reports whether took is above bound. A bound of zero means none.
func exceeds(took, bound time.Duration) bool { return bound > 0 && took > bound }
