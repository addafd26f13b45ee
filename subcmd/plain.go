package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/stand"
)

// plainCommand simulates a plain service.
type plainCommand struct {
	listen string
}

func (*plainCommand) name() string { return "plain" }

func (*plainCommand) summary() string { return "simulate a plain service" }

func (*plainCommand) help() string {
	return `Plain echoes calls. It serves the number of runs of each request at /counts;
faults are set at /faults.`
}

func (command *plainCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "address to serve on", Destination: &command.listen},
	}
}

func (command *plainCommand) run(ctx context.Context, _ []string) error {
	return serveUntilDone(ctx, command.listen, stand.NewPlainService(stand.PlainServiceConfig{}).Handler())
}
