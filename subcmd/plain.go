package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/stand"
)

// plainCommand plays a plain service.
type plainCommand struct {
	listen string
}

func (*plainCommand) name() string { return "plain" }

func (*plainCommand) summary() string { return "play a plain service" }

func (*plainCommand) help() string {
	return `Plain echoes calls and counts what it ran, by request, at /counts. Faults are
set at /faults.`
}

func (command *plainCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "address to serve on", Destination: &command.listen},
	}
}

func (command *plainCommand) run(ctx context.Context, _ []string) error {
	return hold(ctx, command.listen, stand.NewPlainService(stand.PlainServiceConfig{}).Handler())
}
