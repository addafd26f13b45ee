package ident

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

func encodeTicket(ticket Ticket) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Ticket{
		Account:            string(ticket.Account),
		Request:            string(ticket.Request),
		Kind:               ticket.Kind.String(),
		Server:             string(ticket.Server),
		Attempt:            ticket.Attempt,
		ExpiresUnixMicros:  encodeTime(ticket.Expires),
		DeadlineUnixMicros: encodeTime(ticket.Deadline),
		Once:               ticket.Once,
	})
}

func decodeTicket(encoded []byte) (Ticket, error) {
	var message wire.Ticket
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return Ticket{}, &TicketError{Reason: ReasonMalformed}
	}
	kind, err := call.ParseKind(message.GetKind())
	if err != nil {
		return Ticket{}, &TicketError{Reason: ReasonMalformed}
	}
	return Ticket{
		Account:  names.ClientAccount(message.GetAccount()),
		Request:  names.Request(message.GetRequest()),
		Kind:     kind,
		Server:   names.BackendServer(message.GetServer()),
		Attempt:  message.GetAttempt(),
		Expires:  decodeTime(message.GetExpiresUnixMicros()),
		Deadline: decodeTime(message.GetDeadlineUnixMicros()),
		Once:     message.GetOnce(),
	}, nil
}

// encodeTime returns moment in microseconds since the Unix epoch, or zero for
// the zero time.
func encodeTime(moment time.Time) int64 {
	if moment.IsZero() {
		return 0
	}
	return moment.UnixMicro()
}

func decodeTime(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}
