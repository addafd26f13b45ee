package coord

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/wire"
)

// Server serves a [Coordinator] to other entries over gRPC.
type Server struct {
	wire.UnimplementedCoordinationServer
	coordinator *Coordinator
}

// NewServer returns a server of coordinator.
func NewServer(coordinator *Coordinator) *Server { return &Server{coordinator: coordinator} }

// Register registers the service.
func (server *Server) Register(registrar grpc.ServiceRegistrar) {
	wire.RegisterCoordinationServer(registrar, server)
}

// Exchange implements [wire.CoordinationServer]. A report whose entry no longer waits for the
// reply is dropped, so that a coordinator that has fallen behind spends its time on the others.
// The entry counts as one without a coordinator then, and repeats what it has to report.
func (server *Server) Exchange(ctx context.Context, message *wire.CoordExchangeRequest) (*wire.CoordExchangeReply, error) {
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	reply, err := server.coordinator.Exchange(decodeReport(message, server.coordinator.config.Clock.Now()))
	if err != nil {
		return nil, encodeError(err)
	}
	shared, err := shareChanges(ctx, reply.Changes)
	if err != nil {
		return nil, encodeError(err)
	}
	if shared {
		reply.Changes = nil
	}
	// Compressing a reply takes longer than all of the above.
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return encodeReply(reply, server.coordinator.config.Clock.Now()), nil
}

// LoadAdapter implements [wire.CoordinationServer].
func (server *Server) LoadAdapter(ctx context.Context, message *wire.CoordAdapterRequest) (*wire.CoordAdapterReply, error) {
	adapter := pool.Adapter{Model: names.Model(message.GetAdapter().GetModel()), Name: names.Adapter(message.GetAdapter().GetName())}
	if err := server.coordinator.LoadAdapter(ctx, names.BackendServer(message.GetServer()), adapter); err != nil {
		return nil, encodeError(err)
	}
	return &wire.CoordAdapterReply{}, nil
}

// Borrow implements [wire.CoordinationServer].
func (server *Server) Borrow(_ context.Context, message *wire.CoordBorrowRequest) (*wire.CoordBorrowReply, error) {
	wait, lent, err := server.coordinator.Borrow(names.ClientAccount(message.GetAccount()), message.GetCost())
	if err != nil {
		return nil, encodeError(err)
	}
	return &wire.CoordBorrowReply{Lent: lent, WaitMilliseconds: wait.Milliseconds()}, nil
}

// Permit implements [wire.CoordinationServer].
func (server *Server) Permit(_ context.Context, message *wire.CoordPermitRequest) (*wire.CoordPermitReply, error) {
	wait, issued, err := server.coordinator.Permit(decodeApplication(message, server.coordinator.config.Clock.Now()))
	if err != nil {
		return nil, encodeError(err)
	}
	return &wire.CoordPermitReply{Issued: issued, WaitMilliseconds: wait.Milliseconds()}, nil
}

// Probe implements [wire.CoordinationServer].
func (server *Server) Probe(_ context.Context, message *wire.CoordProbeRequest) (*wire.CoordProbeReply, error) {
	wait, granted, err := server.coordinator.Probe(decodeProbe(message))
	if err != nil {
		return nil, encodeError(err)
	}
	return &wire.CoordProbeReply{Granted: granted, WaitMilliseconds: wait.Milliseconds()}, nil
}

func encodeError(err error) error {
	var notCoordinatingError *NotCoordinatingError
	if errors.As(err, &notCoordinatingError) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Aborted, err.Error())
}
