package entry

import (
	"context"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Agents yields clients of agents. It is safe for concurrent use.
type Agents interface {
	// Connect returns a client of the agent beside server, with its connection
	// up. An error proves that nothing was sent.
	Connect(ctx context.Context, server names.BackendServer) (wire.AgentClient, error)
}
