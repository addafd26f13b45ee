package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/codec"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

// pieceCount is the number of pieces of each complete output in these tests.
const pieceCount = 4

// script determines how an agent responds to one attempt.
type script struct {
	// unreachable makes the connection fail, which proves that nothing was sent.
	unreachable bool
	// shift is the distance of the first piece from the expected one; negative
	// is before it.
	shift int
	// count is the number of pieces.
	count int
	// duplicated sends every piece twice.
	duplicated bool
	// refusal ends the attempt if it is set.
	refusal *call.Refusal
	// ended reports whether a stream without a refusal has an end message;
	// otherwise it breaks off.
	ended bool
}

// scriptedAgent follows one script for each attempt, and records whether it ran
// anything.
type scriptedAgent struct {
	wire.AgentClient

	scripts      []script
	attemptsMade int
	ran          bool
}

func (scriptedAgent *scriptedAgent) Connect(context.Context, names.BackendServer) (wire.AgentClient, error) {
	if scriptedAgent.scripts[scriptedAgent.attemptsMade].unreachable {
		scriptedAgent.attemptsMade++
		return nil, merry.New("unreachable")
	}
	return scriptedAgent, nil
}

func (scriptedAgent *scriptedAgent) Serve(_ context.Context, request *wire.ServeRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.ServeReply], error) {
	script := scriptedAgent.scripts[scriptedAgent.attemptsMade]
	scriptedAgent.attemptsMade++
	if script.refusal == nil || script.count > 0 {
		scriptedAgent.ran = true
	}
	return &scriptedStream{replies: script.replies(int(request.GetGenerate().GetOffset()))}, nil
}

func (script *script) replies(offset int) []*wire.ServeReply {
	var replies []*wire.ServeReply
	sent := 0
	for index := max(0, offset+script.shift); index < pieceCount && sent < script.count; index++ {
		chunk := &wire.ServeReply{Reply: &wire.ServeReply_Chunk{Chunk: &wire.Chunk{Index: int64(index), Text: fmt.Sprint(index)}}}
		replies = append(replies, chunk)
		if script.duplicated {
			replies = append(replies, chunk)
		}
		sent++
	}
	switch {
	case script.refusal != nil:
		return append(replies, &wire.ServeReply{Reply: &wire.ServeReply_Refusal{Refusal: codec.EncodeRefusal(script.refusal, nil)}})
	case script.ended:
		return append(replies, &wire.ServeReply{Reply: &wire.ServeReply_End{End: &wire.End{Pieces: pieceCount}}})
	default:
		return replies
	}
}

// scriptedStream returns the replies of one attempt.
type scriptedStream struct {
	grpc.ClientStream

	replies []*wire.ServeReply
}

func (stream *scriptedStream) Recv() (*wire.ServeReply, error) {
	if len(stream.replies) == 0 {
		return nil, io.EOF
	}
	reply := stream.replies[0]
	stream.replies = stream.replies[1:]
	return reply, nil
}

// permissiveRouter routes over a fixed plan and allows every retry that the
// real router would, but without a retry budget and without ejecting servers.
type permissiveRouter struct {
	*route.Router

	plan fixedPlan
}

func newPermissiveRouter(servers int) *permissiveRouter {
	plan := fixedPlan{}
	for i := range servers {
		plan = append(plan, route.Replica{Server: names.BackendServer(fmt.Sprint("server-", i))})
	}
	return &permissiveRouter{plan: plan, Router: route.New(route.Config{Plan: plan, Policy: route.Policy{NoBudget: true, NoEjection: true}})}
}

type fixedPlan []route.Replica

func (fixedPlan) Version() int64                             { return 1 }
func (plan fixedPlan) Replicas(route.Target) []route.Replica { return plan }

type emptySigner struct{}

func (emptySigner) Sign(ident.Ticket) ([]byte, error) { return nil, nil }

// textSink collects the pieces of an output.
type textSink struct{ pieces []string }

func (*textSink) head(*wire.Head) error { return nil }

func (sink *textSink) chunk(chunk *wire.Chunk) error {
	sink.pieces = append(sink.pieces, chunk.GetText())
	return nil
}

func drawScript(t *rapid.T) script {
	script := script{
		unreachable: rapid.IntRange(0, 5).Draw(t, "reach") == 0,
		shift:       rapid.SampledFrom([]int{0, 0, 0, -1, -2, 1}).Draw(t, "shift"),
		count:       rapid.IntRange(0, pieceCount).Draw(t, "count"),
		duplicated:  rapid.Bool().Draw(t, "doubled"),
		ended:       rapid.Bool().Draw(t, "ended"),
	}
	if rapid.IntRange(0, 2).Draw(t, "refused") == 0 {
		script.refusal = &call.Refusal{Code: call.CodeOverloaded, Outcome: call.NotRun{}}
		if script.count > 0 {
			script.refusal = &call.Refusal{Code: call.CodeBroken, Outcome: call.Unknown{}}
		}
	}
	return script
}

// TestAnswerIsWholeOrRefused runs the dispatcher against agents with arbitrary
// behavior. The caller receives each piece once and in order, a response that
// is reported as complete has all pieces, and the outcome is 'not run' if and
// only if nothing ran.
func TestAnswerIsWholeOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const attempts = 4
		agents := &scriptedAgent{}
		for range attempts {
			agents.scripts = append(agents.scripts, drawScript(t))
		}
		idempotent := rapid.Bool().Draw(t, "idempotent")
		sink := &textSink{}
		_, err := testDispatcher(agents, attempts).run(context.Background(), testJob(idempotent), sink)

		want := []string{"0", "1", "2", "3"}
		if !slices.Equal(sink.pieces, want[:len(sink.pieces)]) {
			t.Fatalf("pieces were received as %v", sink.pieces)
		}
		if err == nil {
			if len(sink.pieces) != pieceCount {
				t.Fatalf("output %v is reported as complete", sink.pieces)
			}
			return
		}
		var refusal *call.Refusal
		if !errors.As(err, &refusal) {
			t.Fatalf("not a refusal: %v", err)
		}
		_, notRun := refusal.OutcomeOrUnknown().(call.NotRun)
		if notRun && agents.ran {
			t.Fatalf("outcome is 'not run' although an agent ran the job, after %d attempts: %+v", agents.attemptsMade, agents.scripts)
		}
		if !notRun && !agents.ran {
			t.Fatalf("nothing ran and the outcome is %v", refusal.OutcomeOrUnknown())
		}
	})
}

// TestNonIdempotentJobIsNotRepeated checks that a job that is not idempotent is
// not retried once it may have run.
func TestNonIdempotentJobIsNotRepeated(t *testing.T) {
	tables := []struct {
		title    string
		scripts  []script
		attempts int
	}{
		{"broken", []script{{}, {count: pieceCount, ended: true}}, 1},
		{"unknown", []script{{refusal: &call.Refusal{Code: call.CodeBroken, Outcome: call.Unknown{}}}, {ended: true}}, 1},
		{"not run", []script{{refusal: &call.Refusal{Code: call.CodeDraining, Outcome: call.NotRun{}}}, {count: pieceCount, ended: true}}, 2},
		{"not reached", []script{{unreachable: true}, {count: pieceCount, ended: true}}, 2},
	}
	for _, table := range tables {
		agents := &scriptedAgent{scripts: table.scripts}
		_, _ = testDispatcher(agents, len(table.scripts)).run(context.Background(), testJob(false), &textSink{})
		if agents.attemptsMade != table.attempts {
			t.Errorf("%s: %d attempts, expected %d", table.title, agents.attemptsMade, table.attempts)
		}
	}
}

func testJob(idempotent bool) job {
	return job{
		request: "r", idempotent: idempotent, kind: call.KindInteractive, deadline: time.Now().Add(time.Hour),
		query: route.Query{Target: route.Target{Model: "m"}, Idempotent: idempotent},
		setWork: func(message *wire.ServeRequest, offset int64) {
			message.Work = &wire.ServeRequest_Generate{Generate: &wire.Generate{Offset: offset}}
		},
	}
}

func testDispatcher(agents Agents, attempts int) *dispatcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newDispatcher(Config{
		Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Metrics: metrics.NewRegistry(),
		Crashes: poison.NewSharedTracker(poison.SharedTrackerConfig{Clock: clock.NewService(clock.ServiceConfig{})}),
		Router:  newPermissiveRouter(attempts), Signer: emptySigner{}, Agents: agents, Limits: Limits{Attempts: attempts},
	})
}
