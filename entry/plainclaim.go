package entry

import (
	"context"
	"net/http"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/claim"
)

// replayedHeader marks an answer that was recorded for an earlier call.
const replayedHeader = "Idempotency-Replayed"

// claimPlain sends a call that must not run twice under a claim, and answers a
// repeat with what the first was answered.
func (server *Server) claimPlain(ctx context.Context, accepted *plainCall, job job, watch *stopwatch) (*Answer, error) {
	verdict := server.config.Claims.Begin(ctx, claim.Intent{
		Account: accepted.caller.account, IdempotencyKey: accepted.idempotencyKey,
		Fingerprint: accepted.fingerprint(), Request: job.request,
	})
	switch verdict := verdict.(type) {
	case claim.Replay:
		return replayed(verdict.Answer), nil
	case claim.Refused:
		return nil, verdict.Refusal
	case claim.Proceed:
		answer, err := server.sendPlain(ctx, job, watch)
		server.conclude(verdict.Claim, answer, err)
		return answer, err
	default:
		return nil, &call.Refusal{Code: call.CodeUnavailable, Message: "the call cannot be claimed", Outcome: call.NotRun{}}
	}
}

// conclude records how a claimed call came out.
func (server *Server) conclude(claimed claim.Claim, answer *Answer, err error) {
	if err == nil {
		server.config.Claims.Finish(claimed, call.Run{}, claim.Answer{
			Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body,
		})
		return
	}
	switch outcome := asRefusal(err).OutcomeOrUnknown().(type) {
	case call.NotRun:
		server.config.Claims.Release(claimed)
	case call.Run, call.Unknown:
		server.config.Claims.Finish(claimed, outcome, claim.Answer{})
	}
}

// replayed is the answer to a repeat.
func replayed(recorded claim.Answer) *Answer {
	header := http.Header{}
	if recorded.ContentType != "" {
		header.Set("Content-Type", recorded.ContentType)
	}
	header.Set(replayedHeader, "true")
	return &Answer{Status: recorded.Status, Header: header, Body: recorded.Body}
}
