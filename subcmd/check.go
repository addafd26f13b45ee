package subcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/setup"
)

// checkCommand validates the settings of a role without starting it.
type checkCommand struct {
	role  string
	entry setup.Entry
	agent setup.Agent
}

// Roles that can be checked.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

func (*checkCommand) name() string { return "check" }

func (*checkCommand) summary() string { return "validate the settings of a role" }

func (*checkCommand) help() string {
	return `Check reads the settings of an entry or an agent from flags and environment
variables, names every fault by its flag, and starts nothing. It exits with 2 if
there is a fault. Usage: basilkeel check --role entry [settings of the role]`
}

func (command *checkCommand) flags() []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{
		Name: "role", Usage: "entry or agent", Destination: &command.role, Required: true,
	}}
	seen := map[string]bool{}
	for _, each := range append(command.entry.Flags(), command.agent.Flags()...) {
		if name := each.Names()[0]; !seen[name] {
			seen[name] = true
			flags = append(flags, each)
		}
	}
	return flags
}

func (command *checkCommand) run(context.Context, []string) error {
	switch command.role {
	case roleEntry:
		return command.printResult(command.entry.Validate())
	case roleAgent:
		// A flag that both roles have stores its value in the entry's settings.
		command.agent.Process = command.entry.Process
		return command.printResult(command.agent.Validate())
	default:
		return &setup.ValidationError{Faults: []setup.Fault{{Flag: "role", Problem: "is neither entry nor agent"}}}
	}
}

func (*checkCommand) printResult(err error) error {
	if err == nil {
		fmt.Println("the settings are acceptable")
	}
	return err
}
