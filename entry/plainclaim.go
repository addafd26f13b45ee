package entry

import (
	"context"
	"net/http"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/claim"
)

// replayedHeader marks a response that was recorded for an earlier call.
const replayedHeader = "Idempotency-Replayed"

// claimPlain sends a call that must not run twice under a claim. It answers a
// repeated call with the recorded response of the first.
func (server *Server) claimPlain(ctx context.Context, plainCall *plainCall, job job, stopwatch *stopwatch) (*plainResponse, error) {
	verdict := server.config.Claims.Begin(ctx, claim.Intent{
		Account: plainCall.caller.account, IdempotencyKey: plainCall.idempotencyKey,
		Fingerprint: plainCall.fingerprint(), Request: job.request,
	})
	switch verdict := verdict.(type) {
	case claim.Replay:
		return replayedResponse(verdict.Answer), nil
	case claim.Refused:
		return nil, verdict.Refusal
	case claim.Proceed:
		plainResponse, err := server.sendPlain(ctx, job, stopwatch)
		server.recordOutcome(verdict.Claim, plainResponse, err)
		return plainResponse, err
	default:
		return nil, &call.Refusal{Code: call.CodeUnavailable, Message: "the call cannot be claimed", Outcome: call.NotRun{}}
	}
}

// recordOutcome records the outcome of a claimed call.
func (server *Server) recordOutcome(claimed claim.Claim, plainResponse *plainResponse, err error) {
	if err == nil {
		server.config.Claims.Finish(claimed, call.Run{}, claim.Answer{
			Status: plainResponse.Status, ContentType: plainResponse.Header.Get("Content-Type"), Body: plainResponse.Body,
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

// replayedResponse returns the response to a repeated call.
func replayedResponse(recorded claim.Answer) *plainResponse {
	header := http.Header{}
	if recorded.ContentType != "" {
		header.Set("Content-Type", recorded.ContentType)
	}
	header.Set(replayedHeader, "true")
	return &plainResponse{Status: recorded.Status, Header: header, Body: recorded.Body}
}
