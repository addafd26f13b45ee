package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/codec"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

// connectTimeout limits the wait for a connection to an agent.
const connectTimeout = 2 * time.Second

// runAttempt runs one attempt and reports its result to the router. It returns
// the end message if the attempt completed, and a refusal otherwise.
//
// The last result reports whether the server is to be excluded from the
// candidates for the job, so that another server can take its place.
func (dispatcher *dispatcher) runAttempt(ctx context.Context, job job, server names.BackendServer, number int, progress *progress) (*wire.End, *call.Refusal, bool) {
	dispatcher.attemptMeter.Mark(1)
	if progress.next > 0 {
		dispatcher.resumeMeter.Mark(1)
	}
	started := dispatcher.config.Clock.Now()
	dispatcher.config.Router.Sent(started, server)
	timing := &timing{clock: dispatcher.config.Clock, started: started}
	result := dispatcher.exchange(ctx, job, server, number, progress, timing)
	observation := route.Observation{Target: job.query.Target, FirstToken: timing.firstReply, TokenGap: timing.meanGap()}
	now := dispatcher.config.Clock.Now()
	switch result := result.(type) {
	case completed:
		observation.Load = decodeLoad(result.end.GetLoad())
		dispatcher.confinement.mergeLoad(server, result.end.GetLoad())
		dispatcher.config.Router.Answered(now, server, observation)
		return result.end, nil, false
	case failed:
		observation.Load = decodeLoad(result.load)
		dispatcher.confinement.mergeLoad(server, result.load)
		observation.Code, observation.Outcome = result.refusal.Code, result.refusal.OutcomeOrUnknown()
		dispatcher.config.Router.Failed(now, server, observation)
		if result.cause != nil {
			event.EntryAttemptBroken.Log(dispatcher.config.Log, map[string]any{
				"request": job.request, "server": server, "pieces": progress.next, "cause": result.cause.Error(),
			})
		}
		return nil, result.refusal, result.cause == nil && dispatcher.confinement.allowsOtherServer(job, result.refusal)
	default:
		return nil, &call.Refusal{Code: call.CodeBroken, Message: "the attempt ended in no known way"}, false
	}
}

func (dispatcher *dispatcher) exchange(ctx context.Context, job job, server names.BackendServer, number int, progress *progress, timing *timing) result {
	client, err := dispatcher.connect(ctx, server)
	if err != nil {
		return unsentResult(ctx, err)
	}
	signed, err := dispatcher.ticket(job, server, number)
	if err != nil {
		return unsentResult(ctx, err)
	}
	message := &wire.ServeRequest{Ticket: signed}
	job.setWork(message, progress.next)
	dispatcher.confinement.attachCrashes(message, server)
	// Canceling ctx on return ends the stream, so that the agent stops work
	// whose result nobody will read.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Serve(ctx, message)
	if err != nil {
		return interruptedResult(ctx, err)
	}
	return receive(ctx, stream, progress, timing)
}

func (dispatcher *dispatcher) connect(ctx context.Context, server names.BackendServer) (wire.AgentClient, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return dispatcher.config.Agents.Connect(ctx, server)
}

func receive(ctx context.Context, stream grpc.ServerStreamingClient[wire.ServeReply], progress *progress, timing *timing) result {
	progress.beginAttempt()
	for {
		reply, err := stream.Recv()
		if err != nil {
			return interruptedResult(ctx, err)
		}
		switch reply := reply.GetReply().(type) {
		case *wire.ServeReply_Head:
			timing.recordReply()
			err = progress.head(reply.Head)
		case *wire.ServeReply_Chunk:
			timing.recordReply()
			err = progress.chunk(reply.Chunk)
		case *wire.ServeReply_End:
			return progress.end(reply.End)
		case *wire.ServeReply_Refusal:
			return failed{refusal: codec.DecodeRefusal(reply.Refusal), load: reply.Refusal.GetLoad()}
		default:
			return brokenResult(io.ErrUnexpectedEOF)
		}
		if err != nil {
			return interruptedResult(ctx, err)
		}
	}
}

// unsentResult returns the result of an attempt that was never sent.
func unsentResult(ctx context.Context, err error) result {
	if ctx.Err() != nil {
		return failed{refusal: contextRefusal(ctx)}
	}
	return failed{cause: err, refusal: &call.Refusal{
		Code: call.CodeUnavailable, Message: "the server cannot be reached",
		Outcome: call.NotRun{}, RetryAfter: retryAfterFailure,
	}}
}

// interruptedResult returns the result of an attempt that may have reached the
// agent and ended with err.
func interruptedResult(ctx context.Context, err error) result {
	var sinkError *sinkError
	if errors.As(err, &sinkError) {
		return failed{refusal: &call.Refusal{Code: call.CodeCancelled, Message: sinkError.Error()}}
	}
	if ctx.Err() != nil {
		refusal := *contextRefusal(ctx)
		refusal.Outcome = call.Unknown{}
		return failed{refusal: &refusal}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return brokenResult(err)
}

// brokenResult returns the result of an attempt that stopped without a final
// reply and may have run.
func brokenResult(cause error) result {
	return failed{cause: cause, refusal: &call.Refusal{
		Code: call.CodeBroken, Message: "the server failed while the request ran",
		Outcome: call.Unknown{}, RetryAfter: retryAfterFailure,
	}}
}

func decodeLoad(load *wire.Load) *route.Load {
	if load == nil {
		return nil
	}
	return &route.Load{
		Sequence:   load.GetSequence(),
		Queued:     int(load.GetQueued()),
		Running:    int(load.GetRunning()),
		FirstToken: time.Duration(load.GetFirstTokenMicros()) * time.Microsecond,
		Draining:   load.GetDraining(),
	}
}
