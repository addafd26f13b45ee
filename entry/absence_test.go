package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/claim"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/reply"
	"github.com/basilkeel/basilkeel/wire"
)

// replyFunc returns the replies of an agent one by one. It may wait, and panic.
type replyFunc func(ctx context.Context, number int) (*wire.ServeReply, error)

// replyingAgent answers each attempt with the replies of a replyFunc.
type replyingAgent struct {
	wire.AgentClient

	reply replyFunc
}

func (replyingAgent *replyingAgent) Connect(context.Context, names.BackendServer) (wire.AgentClient, error) {
	return replyingAgent, nil
}

func (replyingAgent *replyingAgent) Serve(ctx context.Context, _ *wire.ServeRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.ServeReply], error) {
	return &replyingStream{recv: func(number int) (*wire.ServeReply, error) { return replyingAgent.reply(ctx, number) }}, nil
}

type replyingStream struct {
	grpc.ClientStream

	recv   func(number int) (*wire.ServeReply, error)
	number int
}

func (replyingStream *replyingStream) Recv() (*wire.ServeReply, error) {
	replyingStream.number++
	return replyingStream.recv(replyingStream.number - 1)
}

// replies returns a replyFunc for a fixed list, after which the stream breaks off.
func replies(list ...*wire.ServeReply) replyFunc {
	return func(_ context.Context, number int) (*wire.ServeReply, error) {
		if number >= len(list) {
			return nil, io.EOF
		}
		return list[number], nil
	}
}

// untilCallerLeaves returns a replyFunc that waits for the end of the attempt after
// list, and closes waits.
func untilCallerLeaves(waits chan<- struct{}, list ...*wire.ServeReply) replyFunc {
	return func(ctx context.Context, number int) (*wire.ServeReply, error) {
		if number < len(list) {
			return list[number], nil
		}
		close(waits)
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

func headReply(status int32) *wire.ServeReply {
	return &wire.ServeReply{Reply: &wire.ServeReply_Head{Head: &wire.Head{Status: status}}}
}

func chunkReply(index int64, text string) *wire.ServeReply {
	return &wire.ServeReply{Reply: &wire.ServeReply_Chunk{Chunk: &wire.Chunk{Index: index, Text: text, Body: []byte(text)}}}
}

func endReply(pieces int64) *wire.ServeReply {
	return &wire.ServeReply{Reply: &wire.ServeReply_End{End: &wire.End{Pieces: pieces}}}
}

type fixedSource struct{ snapshot *config.Snapshot }

func (fixedSource fixedSource) Current() *config.Snapshot { return fixedSource.snapshot }

// openGate admits everybody.
type openGate struct{}

func (openGate) Admit(string) (ident.Admission, error)             { return ident.Admission{}, nil }
func (openGate) Recheck(ident.Admission) error                     { return nil }
func (openGate) CheckRunning(ident.Admission) error                { return nil }
func (openGate) Settle(call.Tokens)                                {}
func (openGate) Observe(Observation)                               {}
func (openGate) Begin(context.Context, claim.Intent) claim.Verdict { return claim.Proceed{} }

func (openGate openGate) Reserve(context.Context, names.ClientAccount, call.Tokens) (Reservation, error) {
	return openGate, nil
}

// recordingClaims grants every claim and records the outcomes.
type recordingClaims struct {
	openGate
	// mutex guards outcomes.
	mutex    sync.Mutex
	outcomes []string
}

func (recordingClaims *recordingClaims) Finish(_ claim.Claim, outcome call.Outcome, answer claim.Answer) {
	recordingClaims.mutex.Lock()
	defer recordingClaims.mutex.Unlock()
	recordingClaims.outcomes = append(recordingClaims.outcomes, fmt.Sprint(outcome, " ", answer.Status))
}

func (recordingClaims *recordingClaims) Release(claim.Claim) {
	recordingClaims.Finish(claim.Claim{}, call.NotRun{}, claim.Answer{})
}

// front is an entry that serves over real sockets.
type front struct {
	*httptest.Server

	claims *recordingClaims
}

func newFront(t *testing.T, serve replyFunc) *front {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clock.NewService(clock.ServiceConfig{})
	claims := &recordingClaims{}
	router := newPermissiveRouter(2)
	server := NewServer(Config{
		Clock: clock, Log: log, Metrics: metrics.NewRegistry(), Gate: openGate{}, Quota: openGate{}, Observer: openGate{}, Claims: claims,
		Source: fixedSource{snapshot: config.NewSnapshot(config.SnapshotConfig{
			Models: []config.Model{config.NewModel(config.ModelConfig{Name: "notes"})},
			Routes: []config.Route{
				config.NewRoute(config.RouteConfig{Service: "desk", PathPrefix: "/look", Idempotent: true, Kind: call.KindInteractive}),
				config.NewRoute(config.RouteConfig{Service: "desk", PathPrefix: "/order", Kind: call.KindInteractive}),
			},
		})},
		Crashes: poison.NewSharedTracker(poison.SharedTrackerConfig{Clock: clock}),
		Router:  router, Plan: router.plan, Signer: emptySigner{}, Agents: &replyingAgent{reply: serve},
		Limits: Limits{
			BodyBytes: 1 << 20, AnswerBytes: 1 << 24, OutputTokens: 100, RequestsPerAccount: 10, Attempts: 2,
			WriteTimeout: 500 * time.Millisecond, RequestTimeout: 10 * time.Second,
		},
	})
	front := &front{Server: httptest.NewUnstartedServer(server.Handler()), claims: claims}
	front.Config.ConnContext = reply.ConnContext
	front.Config.ReadTimeout = 100 * time.Millisecond
	front.Config.ErrorLog = nil
	front.Start()
	t.Cleanup(front.Close)
	return front
}

// send writes a request and returns the connection.
func (front *front) send(t *testing.T, g *WithT, version, path, body string) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", front.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	tcpConn, ok := conn.(*net.TCPConn)
	g.Expect(ok).To(BeTrue())
	t.Cleanup(func() { conn.Close() })
	g.Expect(tcpConn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: a\r\nAuthorization: Bearer secret\r\nIdempotency-Key: one\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, version, len(body), body)
	g.Expect(err).NotTo(HaveOccurred())
	return tcpConn
}

const (
	wholeBody  = `{"model":"notes","prompt":"p","max_tokens":10}`
	streamBody = `{"model":"notes","prompt":"p","max_tokens":10,"stream":true}`
)

// TestPlainResponsesWithoutFinalStatusAreNoSuccess checks attempts that end as complete
// without a status with which a response can be given.
func TestPlainResponsesWithoutFinalStatusAreNoSuccess(t *testing.T) {
	cases := []struct {
		name    string
		replies []*wire.ServeReply
	}{
		{name: "no head", replies: []*wire.ServeReply{endReply(0)}},
		{name: "no head and a body", replies: []*wire.ServeReply{chunkReply(0, "a"), endReply(1)}},
		{name: "no status", replies: []*wire.ServeReply{headReply(0), endReply(0)}},
		{name: "an interim status", replies: []*wire.ServeReply{headReply(103), chunkReply(0, "a"), endReply(1)}},
		{name: "an interim status without a body", replies: []*wire.ServeReply{headReply(100), endReply(0)}},
		{name: "a switch of protocols", replies: []*wire.ServeReply{headReply(101), endReply(0)}},
		{name: "a status of four digits", replies: []*wire.ServeReply{headReply(1000), endReply(0)}},
		{name: "a negative status", replies: []*wire.ServeReply{headReply(-200), endReply(0)}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			front := newFront(t, replies(each.replies...))
			conn := front.send(t, g, "HTTP/1.1", "/svc/desk/order", "order")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
			g.Expect(string(body)).To(ContainSubstring(`"outcome":"unknown"`))
			g.Expect(front.claims.outcomes).To(Equal([]string{"unknown 0"}), "a repeat must not get a response that was never given")
		})
	}
}

// TestCallerThatShutsDownItsSendingSideGetsNoSuccess checks callers that end their sending
// side while their request is served, and read on.
func TestCallerThatShutsDownItsSendingSideGetsNoSuccess(t *testing.T) {
	cases := []struct {
		name, path, body string
		begun            []*wire.ServeReply
	}{
		{name: "a completion", path: "/v1/completions", body: wholeBody},
		{name: "a completion that has begun", path: "/v1/completions", body: wholeBody, begun: []*wire.ServeReply{chunkReply(0, "a")}},
		{name: "a stream", path: "/v1/completions", body: streamBody},
		{name: "a lookup", path: "/svc/desk/look", body: "look"},
		{name: "an order", path: "/svc/desk/order", body: "order"},
		{name: "an order whose response has begun", path: "/svc/desk/order", body: "order", begun: []*wire.ServeReply{headReply(200), chunkReply(0, "a")}},
	}
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, each := range cases {
			t.Run(version+" "+each.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				waits := make(chan struct{})
				front := newFront(t, untilCallerLeaves(waits, each.begun...))
				conn := front.send(t, g, version, each.path, each.body)
				g.Eventually(waits, 5*time.Second).Should(BeClosed())
				g.Expect(conn.CloseWrite()).To(Succeed())
				received, err := io.ReadAll(conn)
				if err != nil {
					g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
				}
				g.Expect(string(received)).NotTo(HavePrefix(version + " 2"))
				g.Expect(string(received)).NotTo(ContainSubstring("notRun"), "the request may have run")
			})
		}
	}
}

// TestReadTimeoutDoesNotEndRequestsInProgress checks that the time limit for sending a
// request is not one for serving it.
func TestReadTimeoutDoesNotEndRequestsInProgress(t *testing.T) {
	g := NewWithT(t)
	front := newFront(t, func(_ context.Context, number int) (*wire.ServeReply, error) {
		if number == 0 {
			time.Sleep(300 * time.Millisecond)
			return headReply(200), nil
		}
		return endReply(0), nil
	})
	conn := front.send(t, g, "HTTP/1.1", "/svc/desk/look", "look")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// TestStreamThatCannotBeWrittenDoesNotLookComplete checks a caller that reads nothing until
// a write has timed out. In HTTP/1.0 only the done event marks a complete stream.
func TestStreamThatCannotBeWrittenDoesNotLookComplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			text := strings.Repeat("a", 1<<20)
			ended := make(chan struct{})
			front := newFront(t, func(ctx context.Context, number int) (*wire.ServeReply, error) {
				if number == 0 {
					context.AfterFunc(ctx, func() { close(ended) })
				}
				return chunkReply(int64(number), text), nil
			})
			conn := front.send(t, g, version, "/v1/completions", streamBody)
			g.Eventually(ended, 15*time.Second).Should(BeClosed())
			received, err := io.ReadAll(conn)
			if err != nil {
				g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
			}
			g.Expect(string(received)).NotTo(ContainSubstring("[DONE]"))
			g.Expect(string(received)).NotTo(HaveSuffix("\r\n0\r\n\r\n"), "the last chunk")
		})
	}
}
