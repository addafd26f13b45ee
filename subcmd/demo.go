package subcmd

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/demo"
	"github.com/basilkeel/basilkeel/trial"
)

// demoCommand runs the system with simulated external systems.
type demoCommand struct {
	basilkeel    string
	stay         bool
	logDirectory string
}

// The size of the demo's fleet.
const (
	demoEntries = 3
	demoEngines = 3
	demoPlains  = 2
)

func (*demoCommand) name() string { return "demo" }

func (*demoCommand) summary() string { return "start a small fleet and send one request of each kind" }

func (*demoCommand) help() string {
	return `Demo starts stand-ins, three entries and five agents in three failure domains
as separate processes on the loopback interface, sends one request of each kind,
prints the answer that each caller got, and ends all processes. It fails if an
answer is not as expected.`
}

func (command *demoCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "basilkeel", Usage: "path of the basilkeel program", Destination: &command.basilkeel, Required: true},
		&cli.BoolFlag{Name: "stay", Usage: "keep the fleet running until interrupted", Destination: &command.stay},
		&cli.StringFlag{Name: "logs", Usage: "directory for logs; by default a temporary one", Destination: &command.logDirectory},
	}
}

func (command *demoCommand) run(ctx context.Context, _ []string) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	directory := command.logDirectory
	if directory == "" {
		directory, err = os.MkdirTemp("", "basilkeel-demo-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(directory)
	}
	cluster := trial.NewCluster(trial.Config{
		Basilkeel: command.basilkeel, Standin: standin, Directory: directory,
		Entries: demoEntries, Engines: demoEngines, PlainServices: demoPlains,
	})
	return demo.New(demo.Config{Cluster: cluster, Output: os.Stdout, KeepRunning: command.stay}).Run(ctx)
}
