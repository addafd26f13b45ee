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

// PoolConfig carries what a [Pool] is built from.
type PoolConfig struct {
	// Fleet tells the addresses of agents.
	Fleet       fleet.Source
	Connections *conns.Pool
}

// Pool is the [Agents] over the connections of this process.
type Pool struct {
	config PoolConfig
}

var _ Agents = (*Pool)(nil)

// NewPool returns the clients of agents.
func NewPool(config PoolConfig) *Pool { return &Pool{config: config} }

// Ready implements [Agents]. It waits until the connection is up, fails, or
// ctx ends; a connection that fails is tried again by the next call.
func (pool *Pool) Ready(ctx context.Context, server names.BackendServer) (wire.AgentClient, error) {
	member, known := pool.config.Fleet.Current().AgentFor(server)
	if !known {
		return nil, merry.Errorf("no agent is known beside %s", server)
	}
	connection, err := pool.config.Connections.Get(member.Address())
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
