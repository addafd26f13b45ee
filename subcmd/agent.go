package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/node"
	"github.com/basilkeel/basilkeel/setup"
)

// agentCommand runs an agent.
type agentCommand struct {
	settings setup.Agent
}

func (*agentCommand) name() string { return "agent" }

func (*agentCommand) summary() string { return "queue and forward the requests of one backend server" }

func (*agentCommand) help() string {
	return `An agent runs beside one backend server, a model engine or a plain service, and
forwards all its requests: it queues them, orders them fairly between client
accounts, and keeps the ledger of accelerator memory. SIGTERM stops an agent
gracefully.`
}

func (command *agentCommand) flags() []cli.Flag { return command.settings.Flags() }

func (command *agentCommand) run(ctx context.Context, _ []string) error {
	if err := command.settings.Validate(); err != nil {
		return err
	}
	return node.RunAgent(ctx, &command.settings)
}
