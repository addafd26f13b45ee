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

// pieceCount is the length of the answers in these tests.
const pieceCount = 4

// script is what one attempt meets.
type script struct {
	// unreachable proves that nothing was sent.
	unreachable bool
	// first and count are the pieces that come; first may lie before or after
	// the piece that is due.
	shift int
	count int
	// doubled repeats every piece.
	doubled bool
	// refusal ends the attempt, else an end where ended is set, else a break.
	refusal *call.Refusal
	ended   bool
}

// scripted plays one script an attempt, and notes whether it ran anything.
type scripted struct {
	wire.AgentClient

	scripts []script
	played  int
	ran     bool
}

func (scripted *scripted) Ready(context.Context, names.BackendServer) (wire.AgentClient, error) {
	if scripted.scripts[scripted.played].unreachable {
		scripted.played++
		return nil, merry.New("unreachable")
	}
	return scripted, nil
}

func (scripted *scripted) Serve(_ context.Context, request *wire.ServeRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.ServeReply], error) {
	script := scripted.scripts[scripted.played]
	scripted.played++
	if script.refusal == nil || script.count > 0 {
		scripted.ran = true
	}
	return &scriptedStream{replies: script.replies(int(request.GetGenerate().GetOffset()))}, nil
}

func (script *script) replies(offset int) []*wire.ServeReply {
	var replies []*wire.ServeReply
	sent := 0
	for index := max(0, offset+script.shift); index < pieceCount && sent < script.count; index++ {
		chunk := &wire.ServeReply{Reply: &wire.ServeReply_Chunk{Chunk: &wire.Chunk{Index: int64(index), Text: fmt.Sprint(index)}}}
		replies = append(replies, chunk)
		if script.doubled {
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

// scriptedStream is the answer of one attempt.
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

// anyServer routes each attempt to a new server and allows every retry that the
// real router would, without a budget.
type anyServer struct {
	*route.Router

	plan fixedPlan
}

func newAnyServer(servers int) *anyServer {
	plan := fixedPlan{}
	for i := range servers {
		plan = append(plan, route.Replica{Server: names.BackendServer(fmt.Sprint("server-", i))})
	}
	return &anyServer{plan: plan, Router: route.New(route.Config{Plan: plan, Policy: route.Policy{NoBudget: true, NoEjection: true}})}
}

type fixedPlan []route.Replica

func (fixedPlan) Version() int64                             { return 1 }
func (plan fixedPlan) Replicas(route.Target) []route.Replica { return plan }

type plainSigner struct{}

func (plainSigner) Sign(ident.Ticket) ([]byte, error) { return nil, nil }

// textSink collects the pieces of an answer.
type textSink struct{ pieces []string }

func (*textSink) head(*wire.Head) error { return nil }

func (sink *textSink) chunk(chunk *wire.Chunk) error {
	sink.pieces = append(sink.pieces, chunk.GetText())
	return nil
}

func drawScript(t *rapid.T) script {
	drawn := script{
		unreachable: rapid.IntRange(0, 5).Draw(t, "reach") == 0,
		shift:       rapid.SampledFrom([]int{0, 0, 0, -1, -2, 1}).Draw(t, "shift"),
		count:       rapid.IntRange(0, pieceCount).Draw(t, "count"),
		doubled:     rapid.Bool().Draw(t, "doubled"),
		ended:       rapid.Bool().Draw(t, "ended"),
	}
	if rapid.IntRange(0, 2).Draw(t, "refused") == 0 {
		drawn.refusal = &call.Refusal{Code: call.CodeOverloaded, Outcome: call.NotRun{}}
		if drawn.count > 0 {
			drawn.refusal = &call.Refusal{Code: call.CodeBroken, Outcome: call.Unknown{}}
		}
	}
	return drawn
}

// TestAnswerIsWholeOrRefused drives the dispatcher with whatever agents may do.
// The caller has each piece once and in order, an answer that counts as whole
// has them all, and 'not run' is said only if nothing ran.
func TestAnswerIsWholeOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const attempts = 4
		agents := &scripted{}
		for range attempts {
			agents.scripts = append(agents.scripts, drawScript(t))
		}
		idempotent := rapid.Bool().Draw(t, "idempotent")
		sink := &textSink{}
		_, err := testDispatcher(agents, attempts).run(context.Background(), testJob(idempotent), sink)

		want := []string{"0", "1", "2", "3"}
		if !slices.Equal(sink.pieces, want[:len(sink.pieces)]) {
			t.Fatalf("pieces came as %v", sink.pieces)
		}
		if err == nil {
			if len(sink.pieces) != pieceCount {
				t.Fatalf("an answer of %v counts as whole", sink.pieces)
			}
			return
		}
		var refusal *call.Refusal
		if !errors.As(err, &refusal) {
			t.Fatalf("not a refusal: %v", err)
		}
		_, notRun := refusal.Result().(call.NotRun)
		if notRun && agents.ran {
			t.Fatalf("'not run' is not true after %d attempts: %+v", agents.played, agents.scripts)
		}
		if !notRun && !agents.ran {
			t.Fatalf("nothing ran and the caller is told %v", refusal.Result())
		}
	})
}

// TestOnceMeansOnce shows that a call that must not run twice is not tried
// again once it may have run.
func TestOnceMeansOnce(t *testing.T) {
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
		agents := &scripted{scripts: table.scripts}
		_, _ = testDispatcher(agents, len(table.scripts)).run(context.Background(), testJob(false), &textSink{})
		if agents.played != table.attempts {
			t.Errorf("%s: %d attempts, expected %d", table.title, agents.played, table.attempts)
		}
	}
}

func testJob(idempotent bool) job {
	return job{
		request: "r", idempotent: idempotent, kind: call.KindInteractive, deadline: time.Now().Add(time.Hour),
		query: route.Query{Target: route.Target{Model: "m"}, Idempotent: idempotent},
		work: func(message *wire.ServeRequest, offset int64) {
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
		Router:  newAnyServer(attempts), Signer: plainSigner{}, Agents: agents, Limits: Limits{Attempts: attempts},
	})
}
