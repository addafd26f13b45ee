package agent

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// loadingRetryAfter is when to retry a request for a model that is not resident.
	loadingRetryAfter = 2 * time.Second
	// cancelTimeout limits the call that cancels abandoned work in the engine.
	cancelTimeout = 2 * time.Second
)

func (server *Server) generate(ctx context.Context, ticket ident.Ticket, request *wire.ServeRequest, stream grpc.ServerStreamingServer[wire.ServeReply]) error {
	if server.config.Engine == nil {
		return &call.Refusal{Code: call.CodeNotFound, Message: "no model engine here", Outcome: call.NotRun{}}
	}
	message := request.GetGenerate()
	generation := decodeGeneration(ticket, message)
	if !server.config.Residency.Ready(generation.Model, generation.Adapter) {
		return &call.Refusal{
			Code: call.CodeLoading, Message: "the model is not resident here",
			Outcome: call.NotRun{}, RetryAfter: loadingRetryAfter,
		}
	}
	permit, err := server.config.Admission.Enter(ctx, Work{
		Request: ticket.Request, Attempt: ticket.Attempt, Account: ticket.Account, Kind: ticket.Kind,
		Model: generation.Model, Adapter: generation.Adapter,
		Prompt: call.Tokens(message.GetPromptTokens()), Output: generation.MaxTokens,
		Deadline: ticket.Deadline, Bytes: int64(len(generation.Prompt)),
	})
	if err != nil {
		return err
	}
	generation.Priority = permit.Priority()
	sent, err := server.runGeneration(permit, generation, stream)
	if err != nil {
		permit.Abort(call.Tokens(sent))
		return err
	}
	permit.Complete(call.Tokens(sent))
	server.config.Meter.Count(place.Usage{
		Account: ticket.Account, Model: generation.Model, Adapter: generation.Adapter,
		Tokens: generation.PromptTokens + call.Tokens(sent),
	})
	end := server.encodeEnd(int64(generation.Offset+sent), int64(sent))
	server.addCrashes(end.GetEnd().GetLoad(), request.GetCrashDigest())
	return stream.Send(end)
}

// runGeneration runs an admitted generation and returns how many pieces it sent.
func (server *Server) runGeneration(permit Permit, generation engine.Generation, stream grpc.ServerStreamingServer[wire.ServeReply]) (int, error) {
	sent := 0
	ctx := permit.Context()
	err := server.config.Engine.Generate(ctx, generation, func(piece engine.Piece) error {
		sent++
		permit.Progress(call.Tokens(sent))
		return stream.Send(encodePiece(piece))
	})
	if err != nil {
		server.cancelGeneration(ctx, generation.Request)
	}
	return sent, err
}

// cancelGeneration cancels request in the engine if ctx has ended, as nobody waits
// for its output any more.
func (server *Server) cancelGeneration(ctx context.Context, request names.Request) {
	if ctx.Err() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// If the engine cannot be reached, it notices the closed stream.
	_ = server.config.Engine.Cancel(ctx, request)
}

func decodeGeneration(ticket ident.Ticket, message *wire.Generate) engine.Generation {
	return engine.Generation{
		Request:      ticket.Request,
		Account:      ticket.Account,
		Model:        names.Model(message.GetModel()),
		Adapter:      names.Adapter(message.GetAdapter()),
		Prompt:       message.GetPrompt(),
		MaxTokens:    call.Tokens(message.GetMaxTokens()),
		PromptTokens: call.Tokens(message.GetPromptTokens()),
		Offset:       int(message.GetOffset()),
	}
}

func encodePiece(piece engine.Piece) *wire.ServeReply {
	return &wire.ServeReply{Reply: &wire.ServeReply_Chunk{
		Chunk: &wire.Chunk{Index: int64(piece.Index), Text: piece.Text},
	}}
}

func (server *Server) encodeEnd(pieces, outputTokens int64) *wire.ServeReply {
	return &wire.ServeReply{Reply: &wire.ServeReply_End{
		End: &wire.End{Pieces: pieces, OutputTokens: outputTokens, Load: server.Load()},
	}}
}
