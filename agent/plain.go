package agent

import (
	"context"

	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/codec"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// plainTokens is the size of a call to a plain service, as the queue counts it.
const plainTokens = call.Tokens(1)

func (server *Server) plain(ctx context.Context, ticket ident.Ticket, message *wire.Plain, stream grpc.ServerStreamingServer[wire.ServeReply]) error {
	if server.config.Plain == nil || names.Service(message.GetService()) != server.config.Service {
		return &call.Refusal{Code: call.CodeNotFound, Message: "the service is not here", Outcome: call.NotRun{}}
	}
	permit, err := server.config.Admission.Enter(ctx, Work{
		Request: ticket.Request, Attempt: ticket.Attempt, Account: ticket.Account, Kind: ticket.Kind,
		Prompt: plainTokens, Deadline: ticket.Deadline, Bytes: int64(len(message.GetBody())),
	})
	if err != nil {
		return err
	}
	answer, err := server.config.Plain.Call(permit.Context(), engine.PlainCall{
		Request: ticket.Request,
		Account: ticket.Account,
		Method:  message.GetMethod(),
		Path:    message.GetPath(),
		Header:  codec.DecodeHeaders(message.GetHeaders()),
		Body:    message.GetBody(),
	})
	if err != nil {
		permit.Abort(0)
		return err
	}
	permit.Progress(plainTokens)
	permit.Complete(plainTokens)
	return server.sendPlain(answer, stream)
}

func (server *Server) sendPlain(answer engine.PlainResponse, stream grpc.ServerStreamingServer[wire.ServeReply]) error {
	head := &wire.Head{Status: int32(answer.Status), Headers: codec.EncodeHeaders(answer.Header)}
	if err := stream.Send(&wire.ServeReply{Reply: &wire.ServeReply_Head{Head: head}}); err != nil {
		return err
	}
	pieces := int64(0)
	for body := answer.Body; len(body) > 0; pieces++ {
		size := min(len(body), plainChunkBytes)
		chunk := &wire.Chunk{Index: pieces, Body: body[:size]}
		if err := stream.Send(&wire.ServeReply{Reply: &wire.ServeReply_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
		body = body[size:]
	}
	return stream.Send(server.encodeEnd(pieces, 0))
}

// plainChunkBytes limits the body in one message of a plain service's answer.
const plainChunkBytes = 64 << 10
