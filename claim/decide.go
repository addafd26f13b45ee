package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	// inProgressRetryAfter is when to retry a call whose first attempt is in
	// progress.
	inProgressRetryAfter = time.Second
	// shardFullRetryAfter is when to retry a call whose shard is full.
	shardFullRetryAfter = time.Minute
	// maxCallDuration is how long a pending claim is reported as in progress.
	// After it, the outcome of the call is reported as not known.
	maxCallDuration = 10 * time.Minute
)

// decision is how to handle an operation, given the last record of its claim.
// Exactly one field is set.
type decision struct {
	// reply is sent without a write. A [Denied] needs a view of the shard that is
	// no older than [WriterConfig.MaxViewAge].
	reply Reply
	// write is the record to store; [Writer.completeWrite] replies after that.
	write *Record
}

// decide returns how to handle operation, given the last record of its claim;
// found is false if there is none.
func decide(now time.Time, record Record, found bool, operation Operation) decision {
	switch operation := operation.(type) {
	case Begin:
		return decideBegin(now, record, found, operation)
	case Finish:
		return decideFinish(now, record, found, operation)
	case Release:
		return decideRelease(now, record, found, operation)
	default:
		return decision{reply: Failed{}}
	}
}

func decideBegin(now time.Time, record Record, found bool, begin Begin) decision {
	if found && record.Attempt == begin.Claim.attempt {
		return decideSameAttempt(record)
	}
	if !found || record.State == StateReleased {
		return decision{write: &Record{
			ID:          begin.Claim.id,
			Fingerprint: begin.Fingerprint,
			Attempt:     begin.Claim.attempt,
			State:       StatePending,
			Time:        now,
		}}
	}
	if record.Fingerprint != begin.Fingerprint {
		return deny(call.CodeConflict, "the idempotency key was used for another call", call.NotRun{}, 0)
	}
	switch record.State {
	case StateRan:
		return decideRan(record)
	case StatePending:
		if now.Sub(record.Time) < maxCallDuration {
			return deny(call.CodeConflict, "the first call with this idempotency key is under way", call.Unknown{}, inProgressRetryAfter)
		}
		return deny(call.CodeConflict, "the outcome of the first call with this idempotency key is not known", call.Unknown{}, 0)
	default:
		return deny(call.CodeBroken, "the outcome of the first call with this idempotency key is not known", call.Unknown{}, 0)
	}
}

// decideSameAttempt handles a [Begin] of the attempt that the last record is of.
func decideSameAttempt(record Record) decision {
	switch record.State {
	case StatePending:
		return decision{reply: Granted{}}
	case StateRan:
		return decideRan(record)
	case StateReleased:
		return deny(call.CodeCancelled, "the call was given up", call.NotRun{}, 0)
	default:
		return deny(call.CodeBroken, "the outcome of the call is not known", call.Unknown{}, 0)
	}
}

func decideRan(record Record) decision {
	if record.Answer != nil {
		return decision{reply: Replayed{Answer: *record.Answer}}
	}
	return deny(call.CodeConflict, "the call ran; its answer was not kept", call.Run{}, 0)
}

func decideFinish(now time.Time, record Record, found bool, finish Finish) decision {
	if !found || record.Attempt != finish.Claim.attempt {
		return decision{reply: Acknowledged{}}
	}
	improves := record.State == StatePending || record.State == StateUnknown && finish.Ran
	if !improves {
		return decision{reply: Acknowledged{}}
	}
	record.Time = now
	record.State = StateUnknown
	if finish.Ran {
		record.State = StateRan
		record.Answer = finish.Answer
	}
	return decision{write: &record}
}

func decideRelease(now time.Time, record Record, found bool, release Release) decision {
	if !found || record.State == StateReleased && record.Attempt != release.Claim.attempt {
		// The Begin may still arrive; the stored release denies it then.
		record = Record{ID: release.Claim.id, Attempt: release.Claim.attempt, State: StatePending}
	}
	if record.Attempt != release.Claim.attempt || record.State != StatePending {
		return decision{reply: Acknowledged{}}
	}
	record.Time = now
	record.State = StateReleased
	return decision{write: &record}
}

func deny(code call.Code, message string, outcome call.Outcome, retryAfter time.Duration) decision {
	return decision{reply: Denied{Refusal: &call.Refusal{
		Code:       code,
		Message:    message,
		Outcome:    outcome,
		RetryAfter: retryAfter,
	}}}
}
