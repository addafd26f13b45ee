package subcmd

import (
	"os"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/node"
)

// Basilkeel returns the command of the program basilkeel, which operators install.
func Basilkeel() *cli.Command {
	return &cli.Command{
		Name:           "basilkeel",
		Usage:          "serve many models from fewer accelerators",
		Version:        node.Version(),
		ExitErrHandler: returnErrors,
		Commands: append(buildAll(
			&entryCommand{},
			&agentCommand{},
			&serveCommand{},
			&explainCommand{},
			&whereCommand{output: os.Stdout},
			&lossesCommand{},
			&checkCommand{},
			&seedCommand{},
			&hashCommand{},
			&quizCommand{},
		), reportGroup(), adminGroup()),
	}
}

// buildAll converts commands for the command-line library.
func buildAll(commands ...command) []*cli.Command {
	built := make([]*cli.Command, 0, len(commands))
	for _, command := range commands {
		built = append(built, build(command))
	}
	return built
}
