package quota

import (
	"context"

	"github.com/basilkeel/basilkeel/wire"
)

// ServerConfig configures a [Server].
type ServerConfig struct {
	Keeper *Keeper
}

// Server serves a [Keeper] to other instances over gRPC.
type Server struct {
	wire.UnimplementedQuotaServer
	keeper *Keeper
}

// NewServer returns a server to register with wire.RegisterQuotaServer.
func NewServer(config ServerConfig) *Server { return &Server{keeper: config.Keeper} }

// Exchange implements wire.QuotaServer.
func (server *Server) Exchange(_ context.Context, request *wire.QuotaExchangeRequest) (*wire.QuotaExchangeReply, error) {
	return encodeAnswer(server.keeper.Exchange(decodeExchange(request))), nil
}

// Vote implements wire.QuotaServer.
func (server *Server) Vote(_ context.Context, request *wire.QuotaVoteRequest) (*wire.QuotaVoteReply, error) {
	return &wire.QuotaVoteReply{Granted: server.keeper.CastVote(decodeVote(request))}, nil
}
