package entry

import (
	"context"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/connectivity"

	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// AgentPoolConfig configures an [AgentPool].
type AgentPoolConfig struct {
	// Fleet provides the addresses of agents.
	Fleet       fleet.Source
	Connections *conns.Pool
}

// AgentPool implements [Agents] with the gRPC connections of this process.
type AgentPool struct {
	config AgentPoolConfig
}

var _ Agents = (*AgentPool)(nil)

// NewAgentPool returns a pool that uses the connections in config.
func NewAgentPool(config AgentPoolConfig) *AgentPool { return &AgentPool{config: config} }

// Connect implements [Agents]. It waits until the connection is ready, has
// failed, or ctx ends. It asks gRPC to retry a failed connection, so that a
// later call can succeed.
func (agentPool *AgentPool) Connect(ctx context.Context, server names.BackendServer) (wire.AgentClient, error) {
	member, known := agentPool.config.Fleet.Current().AgentFor(server)
	if !known {
		return nil, merry.Errorf("no known agent for backend server %s", server)
	}
	connection, err := agentPool.config.Connections.Get(member.Address())
	if err != nil {
		return nil, err
	}
	for {
		state := connection.GetState()
		switch state {
		case connectivity.Ready:
			return wire.NewAgentClient(connection), nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			connection.Connect()
			return nil, merry.Errorf("agent %s cannot be reached", member.Address())
		case connectivity.Idle, connectivity.Connecting:
			connection.Connect()
		}
		if !connection.WaitForStateChange(ctx, state) {
			return nil, ctx.Err()
		}
	}
}
