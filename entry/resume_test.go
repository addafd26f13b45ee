package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/codec"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// replayingAgent sends the replies of one list for each attempt. Each stream breaks off
// after its last reply.
type replayingAgent struct {
	wire.AgentClient

	attempts [][]*wire.ServeReply
	offsets  []int64
}

func (replayingAgent *replayingAgent) Connect(context.Context, names.BackendServer) (wire.AgentClient, error) {
	return replayingAgent, nil
}

func (replayingAgent *replayingAgent) Serve(_ context.Context, request *wire.ServeRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.ServeReply], error) {
	replies := replayingAgent.attempts[len(replayingAgent.offsets)]
	replayingAgent.offsets = append(replayingAgent.offsets, request.GetGenerate().GetOffset())
	return &scriptedStream{replies: replies}, nil
}

func pieceReplies(from, to int64) []*wire.ServeReply {
	var replies []*wire.ServeReply
	for index := from; index <= to; index++ {
		replies = append(replies, &wire.ServeReply{Reply: &wire.ServeReply_Chunk{Chunk: &wire.Chunk{Index: index, Text: fmt.Sprintf("piece %d ", index)}}})
	}
	return replies
}

// TestStreamsOfSeveralAttemptsAreWholeOrEndInAnError checks what a caller reads of a
// stream that breaks after two of four pieces, for each way in which the next agent can
// answer: no text of an error, each piece once, and the done event only behind all.
func TestStreamsOfSeveralAttemptsAreWholeOrEndInAnError(t *testing.T) {
	end := func(pieces int64) *wire.ServeReply {
		return &wire.ServeReply{Reply: &wire.ServeReply_End{End: &wire.End{Pieces: pieces}}}
	}
	refused := func(code call.Code, outcome call.Outcome) *wire.ServeReply {
		return &wire.ServeReply{Reply: &wire.ServeReply_Refusal{Refusal: codec.EncodeRefusal(&call.Refusal{Code: code, Message: "failed", Outcome: outcome}, nil)}}
	}
	head := &wire.ServeReply{Reply: &wire.ServeReply_Head{Head: &wire.Head{Status: http.StatusInternalServerError}}}
	rest := append(pieceReplies(2, 3), end(4))
	cases := []struct {
		name string
		// next are the replies of the attempts after the first.
		next   [][]*wire.ServeReply
		pieces int
		whole  bool
	}{
		{name: "the rest", next: [][]*wire.ServeReply{rest}, pieces: 4, whole: true},
		{name: "an error", next: [][]*wire.ServeReply{{refused(call.CodeBroken, call.Unknown{})}}, pieces: 2},
		{name: "a refusal", next: [][]*wire.ServeReply{{refused(call.CodeOverloaded, call.NotRun{})}}, pieces: 2},
		{name: "an error, then the rest", next: [][]*wire.ServeReply{{refused(call.CodeBroken, call.Unknown{})}, rest}, pieces: 4, whole: true},
		{name: "a piece and an error, then the rest", next: [][]*wire.ServeReply{append(pieceReplies(2, 2), refused(call.CodeBroken, call.Unknown{})), append(pieceReplies(3, 3), end(4))}, pieces: 4, whole: true},
		{name: "an end too early", next: [][]*wire.ServeReply{{end(4)}}, pieces: 2},
		{name: "an end that counts from the offset", next: [][]*wire.ServeReply{append(pieceReplies(2, 3), end(2))}, pieces: 4},
		{name: "no end", next: [][]*wire.ServeReply{pieceReplies(2, 3)}, pieces: 4},
		{name: "a piece too late", next: [][]*wire.ServeReply{append(pieceReplies(3, 3), end(4))}, pieces: 2},
		{name: "an empty reply", next: [][]*wire.ServeReply{{{}}}, pieces: 2},
		{name: "the head of another response", next: [][]*wire.ServeReply{{head}}, pieces: 2},
		{name: "the head of another response, with another agent left", next: [][]*wire.ServeReply{{head}, append(pieceReplies(0, 3), end(4))}, pieces: 2},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			agent := &replayingAgent{attempts: append([][]*wire.ServeReply{pieceReplies(0, 1)}, each.next...)}
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				stream := newStreamWriter(writer, textFormat{}, &completion{modelName: "m", maxTokens: 4}, newStopwatch(clock.NewService(clock.ServiceConfig{})), time.Second)
				end, err := testDispatcher(agent, len(agent.attempts)).run(request.Context(), testJob(true), stream)
				if err == nil {
					err = stream.finish(end)
				}
				if err != nil {
					stream.fail(asRefusal(err))
				}
			}))
			defer server.Close()
			response, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			received, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			text, failure, failed := strings.Cut(string(received), eventErrorPrefix)
			want := ""
			for index := range each.pieces {
				want += fmt.Sprintf("piece %d ", index)
			}
			if got := joinTexts(text); got != want {
				t.Errorf("pieces are %q, expected %q", got, want)
			}
			if whole := strings.HasSuffix(string(received), eventDone); whole != each.whole || failed == each.whole {
				t.Errorf("stream ends with %q, whole should be %t", failure, each.whole)
			}
			wantOffsets := make([]int64, len(each.next))
			for index := range wantOffsets {
				wantOffsets[index] = 2
			}
			if len(each.next) > 1 && each.next[0][0].GetChunk() != nil {
				wantOffsets[1] = 3
			}
			if !slices.Equal(agent.offsets[1:], wantOffsets[:len(agent.offsets)-1]) {
				t.Errorf("offsets are %v, expected 0 and %v", agent.offsets, wantOffsets)
			}
		})
	}
}

// joinTexts returns the texts of the pieces in a stream.
func joinTexts(stream string) string {
	joined := ""
	for _, line := range strings.Split(stream, "\n") {
		if _, rest, found := strings.Cut(line, `"text":"`); found {
			text, _, _ := strings.Cut(rest, `"`)
			joined += text
		}
	}
	return joined
}
