package poison_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/stand"
)

const timeout = 30 * time.Second

// guarded is a simulated engine behind a guard.
type guarded struct {
	g     *WithT
	stand *stand.Engine
	guard *poison.Guard
}

func newGuarded(t *testing.T, name names.BackendServer) guarded {
	t.Helper()
	standEngine := stand.NewEngine(stand.EngineConfig{
		Boot: string(name), Resident: []engine.Resident{{Model: "m", Bytes: 1}},
	})
	standEngine.SetFaults(stand.EngineFaults{CrashMarker: "poison"})
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
	})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	guarded := guarded{g: NewWithT(t), stand: standEngine, guard: poison.NewGuard(poison.GuardConfig{
		Server: name, Engine: client, Clock: clock.NewService(clock.ServiceConfig{}), Logger: logger,
	})}
	guarded.observe()
	return guarded
}

func (guarded guarded) observe() {
	requestedAt := time.Now()
	report, err := guarded.guard.Report(context.Background())
	guarded.g.Expect(err).NotTo(HaveOccurred())
	guarded.guard.Observe(requestedAt, report)
}

// reload makes the model resident again after a crash.
func (guarded guarded) reload() {
	order := engine.Order{Fence: engine.Fence{Epoch: 1, Sequence: 1}, Action: engine.LoadModel{Model: "m", Bytes: 1}}
	guarded.g.Expect(guarded.guard.Order(context.Background(), order)).To(Succeed())
	guarded.g.Eventually(func() bool {
		report, err := guarded.guard.Report(context.Background())
		return err == nil && len(report.Resident) == 1 && !report.Resident[0].Loading
	}, timeout).Should(BeTrue())
	guarded.observe()
}

func (guarded guarded) send(request, prompt string, tokens call.Tokens, begun func()) error {
	generation := engine.Generation{Request: names.Request(request), Model: "m", Prompt: prompt, MaxTokens: tokens}
	return guarded.guard.Generate(context.Background(), generation, func(piece engine.Piece) error {
		if piece.Index == 0 && begun != nil {
			begun()
		}
		return nil
	})
}

// TestPoisonThroughGuards sends a request that crashes engines to three guarded
// engines over HTTP. It must crash two of them, and never the third.
func TestPoisonThroughGuards(t *testing.T) {
	g := NewWithT(t)
	servers := []guarded{newGuarded(t, "a"), newGuarded(t, "b"), newGuarded(t, "c")}
	const endless = 1 << 30
	begun := make(chan struct{})
	neighbour := make(chan error, 1)
	go func() { neighbour <- servers[0].send("n", "innocent", endless, func() { close(begun) }) }()
	g.Eventually(begun, timeout).Should(BeClosed())
	g.Expect(servers[0].send("p", "poison", 8, nil)).NotTo(Succeed())
	g.Eventually(neighbour, timeout).Should(Receive(HaveOccurred()))
	servers[0].reload()

	servers[1].guard.Merge(servers[0].guard.Snapshot())
	g.Expect(servers[1].send("n", "innocent", 8, nil)).To(Succeed(), "the neighbour must complete alone")
	g.Expect(servers[1].send("p", "poison", 8, nil)).NotTo(Succeed())
	servers[1].reload()

	for _, server := range servers {
		server.guard.Merge(servers[1].guard.Snapshot())
		err := server.send("p", "poison", 8, nil)
		var refusal *call.Refusal
		g.Expect(errors.As(err, &refusal)).To(BeTrue())
		g.Expect(refusal.Code).To(Equal(call.CodeQuarantined))
		g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
		g.Expect(server.send("n", "innocent", 8, nil)).To(Succeed())
		g.Expect(server.guard.Quarantines()).To(HaveLen(1))
	}
	g.Expect([]int{
		servers[0].stand.Truth().Crashes, servers[1].stand.Truth().Crashes, servers[2].stand.Truth().Crashes,
	}).To(Equal([]int{1, 1, 0}))
}

// TestCutStreamIsNoCrash cuts off a stream without a crash of the engine. Once a
// report shows that the engine did not restart, the request must no longer be a
// suspect.
func TestCutStreamIsNoCrash(t *testing.T) {
	g := NewWithT(t)
	server := newGuarded(t, "a")
	begun := make(chan struct{})
	broken := make(chan error, 1)
	go func() { broken <- server.send("n", "innocent", 1<<30, func() { close(begun) }) }()
	g.Eventually(begun, timeout).Should(BeClosed())
	g.Expect(server.guard.Cancel(context.Background(), "n")).To(Succeed())
	g.Eventually(broken, timeout).Should(Receive(HaveOccurred()))
	g.Expect(server.send("n", "innocent", 4, nil)).NotTo(Succeed(), "nothing may run while a crash is presumed")
	server.observe()
	g.Expect(server.send("n", "innocent", 4, nil)).To(Succeed())
}
