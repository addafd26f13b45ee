package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/codec"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Server implements the gRPC service wire.Agent.
type Server struct {
	wire.UnimplementedAgentServer

	config   Config
	draining atomic.Bool
	sequence atomic.Int64
	// running counts the attempts that [Server.Wait] waits for.
	running sync.WaitGroup
	served  metrics.Meter
	refused metrics.Meter
	broken  metrics.Meter

	// mu guards attempts. It is also held to set draining and to add to running,
	// so that running does not grow once draining is set.
	mu       sync.Mutex
	attempts map[names.Request]map[*attempt]struct{}
}

var _ wire.AgentServer = (*Server)(nil)

// NewServer returns a server that accepts work immediately.
func NewServer(config Config) *Server {
	metrics.NewRegisteredFunctionalGauge("agent.running", config.Metrics, func() int64 {
		return config.Admission.Load().GetRunning()
	})
	server := &Server{
		config:   config,
		served:   metrics.GetOrRegisterMeter("agent.served", config.Metrics),
		refused:  metrics.GetOrRegisterMeter("agent.refused", config.Metrics),
		broken:   metrics.GetOrRegisterMeter("agent.broken", config.Metrics),
		attempts: make(map[names.Request]map[*attempt]struct{}),
	}
	// The sequence starts at the current time, so that the loads of a restarted
	// agent have higher numbers than those of its previous process.
	server.sequence.Store(config.Clock.Now().UnixMicro())
	return server
}

// Serve implements wire.AgentServer.
func (server *Server) Serve(request *wire.ServeRequest, stream grpc.ServerStreamingServer[wire.ServeReply]) error {
	err := server.serve(request, stream)
	if err == nil {
		server.served.Mark(1)
		return nil
	}
	refusal := refusalOf(err)
	server.countRefusal(refusal)
	return stream.Send(&wire.ServeReply{Reply: &wire.ServeReply_Refusal{
		Refusal: codec.EncodeRefusal(refusal, server.addCrashes(server.Load(), request.GetCrashDigest())),
	}})
}

// Cancel implements wire.AgentServer. Cancelling an unknown request is no error.
func (server *Server) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.CancelReply, error) {
	ticket, err := server.config.Verifier.Check(request.GetTicket())
	if err != nil {
		return nil, err
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	for each := range server.attempts[ticket.Request] {
		each.cancel()
	}
	return &wire.CancelReply{}, nil
}

// Status implements wire.AgentServer.
func (server *Server) Status(context.Context, *wire.StatusRequest) (*wire.Load, error) {
	return server.Load(), nil
}

// Load returns the agent's current load, as reported to entries.
func (server *Server) Load() *wire.Load {
	load := server.config.Admission.Load()
	load.Sequence = server.sequence.Add(1)
	load.Draining = server.draining.Load()
	if server.config.Residency != nil {
		for _, model := range server.config.Residency.Models() {
			load.Models = append(load.Models, string(model))
		}
	}
	return load
}

// Drain makes the server refuse new work. Running and waiting work continues.
func (server *Server) Drain() {
	server.mu.Lock()
	defer server.mu.Unlock()
	if !server.draining.Swap(true) {
		event.AgentDraining.Log(server.config.Log, nil)
	}
}

// Draining reports whether new work is refused.
func (server *Server) Draining() bool { return server.draining.Load() }

// Wait blocks until no attempt runs or waits, or ctx ends. It must be called
// after Drain.
func (server *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		server.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (server *Server) serve(request *wire.ServeRequest, stream grpc.ServerStreamingServer[wire.ServeReply]) error {
	ticket, err := server.config.Verifier.Admit(request.GetTicket())
	if err != nil {
		return server.ticketRefusal(err)
	}
	server.mergeCrashes(request)
	ctx, cancel := withDeadline(stream.Context(), ticket.Deadline)
	defer cancel()
	current := &attempt{ticket: ticket, cancel: cancel}
	if !server.register(current) {
		return &call.Refusal{Code: call.CodeDraining, Message: "the server is leaving", Outcome: call.NotRun{}}
	}
	defer server.unregister(current)
	switch work := request.GetWork().(type) {
	case *wire.ServeRequest_Generate:
		return server.generate(ctx, ticket, request, stream)
	case *wire.ServeRequest_Plain:
		return server.plain(ctx, ticket, work.Plain, stream)
	default:
		return &call.Refusal{Code: call.CodeBadRequest, Message: "the attempt names no work", Outcome: call.NotRun{}}
	}
}

// register adds an attempt, unless the server is draining, and reports whether it
// did. Holding mu ensures that no attempt is added after Drain has returned.
func (server *Server) register(current *attempt) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.draining.Load() {
		return false
	}
	server.running.Add(1)
	request := current.ticket.Request
	if server.attempts[request] == nil {
		server.attempts[request] = make(map[*attempt]struct{})
	}
	server.attempts[request][current] = struct{}{}
	return true
}

func (server *Server) unregister(current *attempt) {
	server.mu.Lock()
	defer server.mu.Unlock()
	request := current.ticket.Request
	delete(server.attempts[request], current)
	if len(server.attempts[request]) == 0 {
		delete(server.attempts, request)
	}
	server.running.Done()
}

func (server *Server) ticketRefusal(err error) error {
	var ticketError *ident.TicketError
	if !errors.As(err, &ticketError) {
		return err
	}
	event.AgentTicketRefused.Log(server.config.Log, map[string]any{"reason": ticketError.Reason})
	return &call.Refusal{Code: call.CodeUnauthorized, Message: ticketError.Error(), Outcome: call.NotRun{}}
}

func (server *Server) countRefusal(refusal *call.Refusal) {
	switch refusal.OutcomeOrUnknown().(type) {
	case call.NotRun:
		server.refused.Mark(1)
	case call.Run, call.Unknown:
		server.broken.Mark(1)
	}
}
