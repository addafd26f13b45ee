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

// Server offers a desk to other entries.
type Server struct {
	wire.UnimplementedCoordinationServer
	desk *Coordinator
}

// NewServer returns a server of desk.
func NewServer(coordinator *Coordinator) *Server { return &Server{desk: coordinator} }

// Register adds the service to server.
func (server *Server) Register(registrar grpc.ServiceRegistrar) {
	wire.RegisterCoordinationServer(registrar, server)
}

// Exchange implements the service.
func (server *Server) Exchange(_ context.Context, message *wire.CoordExchangeRequest) (*wire.CoordExchangeReply, error) {
	reply, err := server.desk.Exchange(decodeReport(message, server.desk.config.Clock.Now()))
	if err != nil {
		return nil, encodeError(err)
	}
	return encodeReply(reply, server.desk.config.Clock.Now()), nil
}

// LoadAdapter implements the service.
func (server *Server) LoadAdapter(ctx context.Context, message *wire.CoordAdapterRequest) (*wire.CoordAdapterReply, error) {
	adapter := pool.Adapter{Model: names.Model(message.GetAdapter().GetModel()), Name: names.Adapter(message.GetAdapter().GetName())}
	if err := server.desk.LoadAdapter(ctx, names.BackendServer(message.GetServer()), adapter); err != nil {
		return nil, encodeError(err)
	}
	return &wire.CoordAdapterReply{}, nil
}

// Borrow implements the service.
func (server *Server) Borrow(_ context.Context, message *wire.CoordBorrowRequest) (*wire.CoordBorrowReply, error) {
	wait, lent, err := server.desk.Borrow(names.ClientAccount(message.GetAccount()), message.GetCost())
	if err != nil {
		return nil, encodeError(err)
	}
	return &wire.CoordBorrowReply{Lent: lent, WaitMilliseconds: wait.Milliseconds()}, nil
}

func encodeError(err error) error {
	var notCoordinatingError *NotCoordinatingError
	if errors.As(err, &notCoordinatingError) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Aborted, err.Error())
}
