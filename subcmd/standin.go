package subcmd

import "github.com/urfave/cli/v3"

// Standin returns the command of the program standin, which simulates the external
// systems that basilkeel works with.
func Standin() *cli.Command {
	return &cli.Command{
		Name:           "standin",
		Usage:          "simulate the systems that basilkeel works with, for tests and a first run",
		ExitErrHandler: returnErrors,
		Commands: buildAll(
			&platformCommand{},
			&engineCommand{},
			&plainCommand{},
			&demoCommand{},
		),
	}
}
