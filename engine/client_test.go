package engine_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/stand"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

const testModel = names.Model("notes-7b@1")

type fixture struct {
	stand  *stand.Engine
	client *engine.HTTPEngine
}

func newFixture(t *testing.T, config stand.EngineConfig) fixture {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	if config.Resident == nil {
		config.Resident = []engine.Resident{{Model: testModel, Bytes: 1 << 20}}
	}
	standEngine := stand.NewEngine(config)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); standEngine.Run(ctx) }()
	server := httptest.NewServer(standEngine.Handler())
	client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: server.URL})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		stop()
		<-ended
		goleak.VerifyNone(t, leaks)
	})
	return fixture{stand: standEngine, client: client}
}

func generation(request, prompt string) engine.Generation {
	return engine.Generation{Request: names.Request(request), Model: testModel, Prompt: prompt, MaxTokens: 12}
}

func collect(client *engine.HTTPEngine, wanted engine.Generation) ([]engine.Piece, error) {
	var pieces []engine.Piece
	err := client.Generate(context.Background(), wanted, func(piece engine.Piece) error {
		pieces = append(pieces, piece)
		return nil
	})
	return pieces, err
}

func TestResumedStreamIsIdentical(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, stand.EngineConfig{PrefixBytes: 1 << 30})
	whole, err := collect(fixture.client, generation("r1", "a rack by the beach"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole).To(HaveLen(12))
	resumed := generation("r1", "a rack by the beach")
	resumed.Offset = 5
	rest, err := collect(fixture.client, resumed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rest).To(Equal(whole[5:]))
}

func TestCrashBreaksEveryStream(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, stand.EngineConfig{})
	fixture.stand.SetFaults(stand.EngineFaults{CrashMarker: "poison"})
	boot := fixture.stand.Truth().Boot
	_, err := collect(fixture.client, generation("r1", "poison"))
	var sendError *engine.SendError
	g.Expect(errors.As(err, &sendError)).To(BeTrue())
	g.Expect(sendError.MaybeSent).To(BeTrue())
	g.Expect(fixture.stand.Truth().Boot).NotTo(Equal(boot))
}

func TestStreamWithoutLastEventIsBroken(t *testing.T) {
	tables := []struct{ name, body string }{
		{"no last event", "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"},
		{"a gap", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"c\"}],\"pieceIndex\":2}\n\n"},
		{"malformed", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\n\n"},
	}
	for _, table := range tables {
		t.Run(table.name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Type", "text/event-stream")
				writer.Write([]byte(table.body))
			}))
			defer server.Close()
			client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: server.URL})
			defer client.Close()
			pieces, err := collect(client, generation("r1", "p"))
			var brokenError *engine.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue())
			g.Expect(brokenError.Pieces).To(Equal(1))
			g.Expect(pieces).To(HaveLen(1))
		})
	}
}

func TestNotSentOnlyOnProof(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	client := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: "http://" + address})
	_, err = client.Call(context.Background(), engine.PlainCall{Request: "r1", Method: http.MethodPost, Path: "/a"})
	var sendError *engine.SendError
	g.Expect(errors.As(err, &sendError)).To(BeTrue())
	g.Expect(sendError.MaybeSent).To(BeFalse(), "a refused connection proves that nothing was sent")
}

// TestPlainCallIsSentOnce drops the response to a call that ran, on a reused
// connection. The transport would then retry a call that has an Idempotency-Key
// header, so that it runs twice, if its body could be sent again.
func TestPlainCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			plainService := stand.NewPlainService(stand.PlainServiceConfig{})
			server := httptest.NewServer(plainService.Handler())
			defer server.Close()
			client := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: server.URL})
			defer client.Close()
			plainCall := engine.PlainCall{
				Request: "r0", Method: method, Path: "/orders",
				Header: http.Header{"Idempotency-Key": {"k"}},
			}
			_, err := client.Call(context.Background(), plainCall)
			g.Expect(err).NotTo(HaveOccurred())
			plainService.SetFaults(stand.PlainServiceFaults{DropAnswers: 1})
			plainCall.Request = "r1"
			_, err = client.Call(context.Background(), plainCall)
			var sendError *engine.SendError
			g.Expect(errors.As(err, &sendError)).To(BeTrue())
			g.Expect(sendError.MaybeSent).To(BeTrue())
			g.Expect(plainService.Counts()).To(HaveKeyWithValue(names.Request("r1"), 1))
		})
	}
}

func TestOrdersAndFaults(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	fixture := newFixture(t, stand.EngineConfig{Fencing: true, MemoryBytes: 1 << 30})
	load := engine.Order{
		Fence: engine.Fence{Epoch: 2, Sequence: 1}, Action: engine.LoadModel{Model: "label-3b@1", Bytes: 1 << 20},
	}
	fixture.stand.SetFaults(stand.EngineFaults{LoseOrders: 1})
	g.Expect(fixture.client.Order(ctx, load)).NotTo(Succeed())
	g.Expect(fixture.stand.Truth().UsedBytes).To(Equal(int64(1 << 20)))
	fixture.stand.SetFaults(stand.EngineFaults{LoseAnswers: 1})
	g.Expect(fixture.client.Order(ctx, load)).NotTo(Succeed())
	g.Expect(fixture.stand.Truth().UsedBytes).To(Equal(int64(2 << 20)))
	load.Fence.Epoch = 1
	var fencedError *engine.FencedError
	g.Expect(errors.As(fixture.client.Order(ctx, load), &fencedError)).To(BeTrue())
	g.Expect(fencedError.Seen.Epoch).To(Equal(int64(2)))
	report, err := fixture.client.Report(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Applied).To(Equal(engine.Fence{Epoch: 2, Sequence: 1}))
	g.Expect(report.Resident).To(HaveLen(2))
	g.Expect(fixture.stand.Truth().Violations).To(BeZero())
}

func TestFaultsOverHTTPWhileFrozen(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, stand.EngineConfig{})
	server := httptest.NewServer(fixture.stand.Handler())
	defer server.Close()
	client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: server.URL})
	defer client.Close()
	set := func(body string) {
		response, err := http.Post(server.URL+stand.PathFaults, "application/json", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		g.Expect(response.Body.Close()).To(Succeed())
	}
	set(`{"frozen":true}`)
	ended := make(chan error, 1)
	go func() { _, err := collect(client, generation("r1", "p")); ended <- err }()
	g.Consistently(ended, 20*time.Millisecond).ShouldNot(Receive())
	set(`{"frozen":false}`)
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
	http.DefaultClient.CloseIdleConnections()
}

func TestCodecsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		text := rapid.StringMatching(`[a-z0-9@-]{1,12}`)
		model, adapter := names.Model(text.Draw(t, "model")), names.Adapter(text.Draw(t, "adapter"))
		bytes := rapid.Int64Min(0).Draw(t, "bytes")
		action := rapid.SampledFrom([]engine.Action{
			engine.LoadModel{Model: model, Bytes: bytes},
			engine.UnloadModel{Model: model},
			engine.LoadAdapter{Model: model, Adapter: adapter, Bytes: bytes},
			engine.UnloadAdapter{Model: model, Adapter: adapter},
			engine.ChangeRole{Role: engine.RoleDecode},
		}).Draw(t, "action")
		order := engine.Order{Fence: engine.Fence{Epoch: 3, Sequence: bytes}, Action: action}
		data, err := engine.EncodeOrder(order)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := engine.DecodeOrder(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(order))
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"action":"loadModel","model":"a","bytes":1}`))
	f.Add([]byte(`{"choices":[{"text":"a"}],"pieceIndex":1}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = engine.DecodeOrder(data)
		_, _ = engine.DecodeReport(data)
		_, _, _ = engine.DecodeGeneration(data)
		_, _ = engine.DecodePiece(data, 0)
	})
}
