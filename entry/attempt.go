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

// connectTimeout bounds the wait for a connection to an agent.
const connectTimeout = 2 * time.Second

// attempt runs one attempt, tells the router how it ended, and returns the end
// or the refusal that stands for it.
//
// The last result tells whether the server passed the job on to others.
func (dispatcher *dispatcher) attempt(ctx context.Context, job job, server names.BackendServer, number int, progress *progress) (*wire.End, *call.Refusal, bool) {
	dispatcher.attempts.Mark(1)
	if progress.next > 0 {
		dispatcher.resumes.Mark(1)
	}
	started := dispatcher.config.Clock.Now()
	dispatcher.config.Router.Sent(started, server)
	timing := &timing{clock: dispatcher.config.Clock, started: started}
	ended := dispatcher.exchange(ctx, job, server, number, progress, timing)
	observation := route.Observation{Target: job.query.Target, FirstToken: timing.firstReply, TokenGap: timing.meanGap()}
	now := dispatcher.config.Clock.Now()
	switch ended := ended.(type) {
	case whole:
		observation.Load = decodeLoad(ended.end.GetLoad())
		dispatcher.confined.learn(server, ended.end.GetLoad())
		dispatcher.config.Router.Answered(now, server, observation)
		return ended.end, nil, false
	case failed:
		observation.Load = decodeLoad(ended.load)
		dispatcher.confined.learn(server, ended.load)
		observation.Code, observation.Outcome = ended.refusal.Code, ended.refusal.OutcomeOrUnknown()
		dispatcher.config.Router.Failed(now, server, observation)
		if ended.cause != nil {
			event.EntryAttemptBroken.Log(dispatcher.config.Log, map[string]any{
				"request": job.request, "server": server, "pieces": progress.next, "cause": ended.cause.Error(),
			})
		}
		return nil, ended.refusal, ended.cause == nil && dispatcher.confined.passes(job, ended.refusal)
	default:
		return nil, &call.Refusal{Code: call.CodeBroken, Message: "the attempt ended in no known way"}, false
	}
}

func (dispatcher *dispatcher) exchange(ctx context.Context, job job, server names.BackendServer, number int, progress *progress, timing *timing) result {
	client, err := dispatcher.connect(ctx, server)
	if err != nil {
		return unsent(ctx, err)
	}
	signed, err := dispatcher.ticket(job, server, number)
	if err != nil {
		return unsent(ctx, err)
	}
	message := &wire.ServeRequest{Ticket: signed}
	job.work(message, progress.next)
	dispatcher.confined.brief(message, server)
	// The stream ends with ctx, so that an agent stops work nobody waits for.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Serve(ctx, message)
	if err != nil {
		return stopped(ctx, err)
	}
	return receive(ctx, stream, progress, timing)
}

func (dispatcher *dispatcher) connect(ctx context.Context, server names.BackendServer) (wire.AgentClient, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return dispatcher.config.Agents.Ready(ctx, server)
}

func receive(ctx context.Context, stream grpc.ServerStreamingClient[wire.ServeReply], progress *progress, timing *timing) result {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return stopped(ctx, err)
		}
		switch reply := reply.GetReply().(type) {
		case *wire.ServeReply_Head:
			timing.reply()
			err = progress.head(reply.Head)
		case *wire.ServeReply_Chunk:
			timing.reply()
			err = progress.chunk(reply.Chunk)
		case *wire.ServeReply_End:
			return progress.end(reply.End)
		case *wire.ServeReply_Refusal:
			return failed{refusal: codec.DecodeRefusal(reply.Refusal), load: reply.Refusal.GetLoad()}
		default:
			return broken(io.ErrUnexpectedEOF)
		}
		if err != nil {
			return stopped(ctx, err)
		}
	}
}

// unsent ends an attempt that never left.
func unsent(ctx context.Context, err error) result {
	if ctx.Err() != nil {
		return failed{refusal: abandonment(ctx)}
	}
	return failed{cause: err, refusal: &call.Refusal{
		Code: call.CodeUnavailable, Message: "the server cannot be reached",
		Outcome: call.NotRun{}, RetryAfter: retryAfterFailure,
	}}
}

// stopped ends an attempt that may have reached the agent.
func stopped(ctx context.Context, err error) result {
	var sinkError *sinkError
	if errors.As(err, &sinkError) {
		return failed{refusal: &call.Refusal{Code: call.CodeCancelled, Message: sinkError.Error()}}
	}
	if ctx.Err() != nil {
		refusal := *abandonment(ctx)
		refusal.Outcome = call.Unknown{}
		return failed{refusal: &refusal}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return broken(err)
}

// broken ends an attempt that stopped without a final word and may have run.
func broken(cause error) result {
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
