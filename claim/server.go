package claim

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/wire"
)

// ServerConfig configures a [Server].
type ServerConfig struct {
	Host *Host
}

// Server serves a [Host] to other entries over gRPC.
type Server struct {
	wire.UnimplementedClaimsServer
	host *Host
}

// NewServer returns a server to register with gRPC.
func NewServer(config ServerConfig) *Server { return &Server{host: config.Host} }

// Submit implements [wire.ClaimsServer].
func (server *Server) Submit(ctx context.Context, request *wire.ClaimOperation) (*wire.ClaimReply, error) {
	operation, err := operationFromWire(request)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return replyToWire(server.host.Submit(ctx, operation)), nil
}
