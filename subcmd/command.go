package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// command is a subcommand of one of the programs.
type command interface {
	// name returns the command's name on the command line.
	name() string
	// summary returns the help in one line.
	summary() string
	// help returns the full help in Markdown.
	help() string
	// flags returns the flags, which store their values in the command.
	flags() []cli.Flag
	// run executes the command with the arguments that are not flags.
	run(ctx context.Context, arguments []string) error
}

// build converts a command for the command-line library.
func build(command command) *cli.Command {
	return &cli.Command{
		Name:        command.name(),
		Usage:       command.summary(),
		Description: command.help(),
		Flags:       command.flags(),
		Action: func(ctx context.Context, parsed *cli.Command) error {
			return command.run(ctx, parsed.Args().Slice())
		},
	}
}
