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

// AgentPoolConfig carries what a [AgentPool] is built from.
type AgentPoolConfig struct {
	// Fleet tells the addresses of agents.
	Fleet       fleet.Source
	Connections *conns.Pool
}

// AgentPool is the [Agents] over the connections of this process.
type AgentPool struct {
	config AgentPoolConfig
}

var _ Agents = (*AgentPool)(nil)

// NewAgentPool returns the clients of agents.
func NewAgentPool(config AgentPoolConfig) *AgentPool { return &AgentPool{config: config} }

// Connect implements [Agents]. It waits until the connection is up, fails, or
// ctx ends; a connection that fails is tried again by the next call.
func (agentPool *AgentPool) Connect(ctx context.Context, server names.BackendServer) (wire.AgentClient, error) {
	member, known := agentPool.config.Fleet.Current().Server(server)
	if !known {
		return nil, merry.Errorf("no agent is known beside %s", server)
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
