package codec

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// EncodeRefusal converts a refusal to a message that also carries load.
func EncodeRefusal(refusal *call.Refusal, load *wire.Load) *wire.Refusal {
	return &wire.Refusal{
		Code:             string(refusal.Code),
		Message:          refusal.Message,
		Outcome:          refusal.OutcomeOrUnknown().String(),
		RetryAfterMillis: refusal.RetryAfter.Milliseconds(),
		Load:             load,
	}
}

// DecodeRefusal converts a message to a refusal. An unrecognized outcome becomes
// [call.Unknown].
func DecodeRefusal(message *wire.Refusal) *call.Refusal {
	return &call.Refusal{
		Code:       call.Code(message.GetCode()),
		Message:    message.GetMessage(),
		Outcome:    call.ParseOutcome(message.GetOutcome()),
		RetryAfter: time.Duration(message.GetRetryAfterMillis()) * time.Millisecond,
	}
}
