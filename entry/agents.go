package entry

import (
	"context"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Agents provides clients of agents. It is safe for concurrent use.
type Agents interface {
	// Connect returns a client of the agent of server, once its connection is
	// ready. An error guarantees that nothing was sent.
	Connect(ctx context.Context, server names.BackendServer) (wire.AgentClient, error)
}
