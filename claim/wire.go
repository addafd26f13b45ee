package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// operationToWire and operationFromWire are inverse to each other, and so are
// replyToWire and replyFromWire.
func operationToWire(operation Operation) *wire.ClaimOperation {
	target := operation.Target()
	message := &wire.ClaimOperation{Id: target.id[:], Attempt: string(target.attempt)}
	switch operation := operation.(type) {
	case Begin:
		begin := &wire.ClaimBegin{Fingerprint: operation.Fingerprint[:]}
		message.Operation = &wire.ClaimOperation_Begin{Begin: begin}
	case Finish:
		finish := &wire.ClaimFinish{Ran: operation.Ran, Answer: answerToWire(operation.Answer)}
		message.Operation = &wire.ClaimOperation_Finish{Finish: finish}
	case Release:
		message.Operation = &wire.ClaimOperation_Release{Release: &wire.ClaimRelease{}}
	}
	return message
}

func operationFromWire(message *wire.ClaimOperation) (Operation, error) {
	if len(message.GetId()) != hashBytes || message.GetAttempt() == "" {
		return nil, &OperationError{Reason: "no claim"}
	}
	claim := Claim{id: ID(message.GetId()), attempt: names.Request(message.GetAttempt())}
	switch operation := message.GetOperation().(type) {
	case *wire.ClaimOperation_Begin:
		fingerprint := operation.Begin.GetFingerprint()
		if len(fingerprint) != hashBytes {
			return nil, &OperationError{Reason: "no fingerprint"}
		}
		return Begin{Claim: claim, Fingerprint: Fingerprint(fingerprint)}, nil
	case *wire.ClaimOperation_Finish:
		answer := answerFromWire(operation.Finish.GetAnswer())
		return Finish{Claim: claim, Ran: operation.Finish.GetRan(), Answer: answer}, nil
	case *wire.ClaimOperation_Release:
		return Release{Claim: claim}, nil
	default:
		return nil, &OperationError{Reason: "no operation"}
	}
}

func replyToWire(reply Reply) *wire.ClaimReply {
	switch reply := reply.(type) {
	case Granted:
		return &wire.ClaimReply{Reply: &wire.ClaimReply_Granted{Granted: &wire.ClaimGranted{}}}
	case Replayed:
		return &wire.ClaimReply{Reply: &wire.ClaimReply_Replayed{Replayed: answerToWire(&reply.Answer)}}
	case Denied:
		denied := &wire.ClaimDenied{
			Code:             string(reply.Refusal.Code),
			Message:          reply.Refusal.Message,
			Outcome:          reply.Refusal.OutcomeOrUnknown().String(),
			RetryAfterMillis: reply.Refusal.RetryAfter.Milliseconds(),
		}
		return &wire.ClaimReply{Reply: &wire.ClaimReply_Denied{Denied: denied}}
	case Acknowledged:
		return &wire.ClaimReply{Reply: &wire.ClaimReply_Noted{Noted: &wire.ClaimNoted{}}}
	case Failed:
		return &wire.ClaimReply{Reply: &wire.ClaimReply_Failed{Failed: &wire.ClaimFailed{Maybe: reply.MayApply}}}
	default:
		return &wire.ClaimReply{Reply: &wire.ClaimReply_Failed{Failed: &wire.ClaimFailed{Maybe: true}}}
	}
}

func replyFromWire(message *wire.ClaimReply) Reply {
	switch reply := message.GetReply().(type) {
	case *wire.ClaimReply_Granted:
		return Granted{}
	case *wire.ClaimReply_Replayed:
		return Replayed{Answer: *answerFromWire(reply.Replayed)}
	case *wire.ClaimReply_Denied:
		return Denied{Refusal: &call.Refusal{
			Code:       call.Code(reply.Denied.GetCode()),
			Message:    reply.Denied.GetMessage(),
			Outcome:    call.ParseOutcome(reply.Denied.GetOutcome()),
			RetryAfter: time.Duration(reply.Denied.GetRetryAfterMillis()) * time.Millisecond,
		}}
	case *wire.ClaimReply_Noted:
		return Acknowledged{}
	case *wire.ClaimReply_Failed:
		return Failed{MayApply: reply.Failed.GetMaybe()}
	default:
		return Failed{MayApply: true}
	}
}
