package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/node"
	"github.com/basilkeel/basilkeel/setup"
)

// entryCommand runs an entry.
type entryCommand struct {
	settings setup.Entry
}

func (*entryCommand) name() string { return "entry" }

func (*entryCommand) summary() string { return "serve callers" }

func (*entryCommand) help() string {
	return `An entry accepts callers' requests, admits them by their access keys, and forwards
them to agents. Entries are interchangeable, store nothing on disk, and run behind
the platform's load balancer. SIGTERM stops an entry gracefully.`
}

func (command *entryCommand) flags() []cli.Flag { return command.settings.Flags() }

func (command *entryCommand) run(ctx context.Context, _ []string) error {
	if err := command.settings.Validate(); err != nil {
		return err
	}
	return node.RunEntry(ctx, &command.settings)
}
