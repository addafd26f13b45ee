package subcmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/quota"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/store"
)

// seedCommand writes the first configuration and the quota seats of a new fleet.
type seedCommand struct {
	platform string
	file     string
}

func (*seedCommand) name() string { return "seed" }

func (*seedCommand) summary() string { return "write the first configuration of a new fleet" }

func (*seedCommand) help() string {
	return `Seed makes the first change of a fleet that has no configuration yet, directly in
the platform's key-value service. Later changes go through the administration API.
The file holds a change as JSON; - reads it from standard input.`
}

func (command *seedCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "platform", Usage: "address of the platform's key-value service",
			Sources: cli.EnvVars(setup.Environment("platform")), Destination: &command.platform, Required: true,
		},
		&cli.StringFlag{Name: "file", Usage: "file with the change as JSON", Destination: &command.file, Required: true},
	}
}

func (command *seedCommand) run(ctx context.Context, _ []string) error {
	content, err := readFile(command.file)
	if err != nil {
		return err
	}
	change, err := config.DecodeChange(content)
	if err != nil {
		return merry.Prependf(err, "%s", command.file)
	}
	if change.Expected != 0 {
		return merry.Errorf("%s expects version %d; a seed expects 0", command.file, change.Expected)
	}
	client, err := store.NewClient(store.ClientConfig{Address: command.platform})
	if err != nil {
		return err
	}
	defer client.Close()
	if err := quota.CreateSeats(ctx, client); err != nil {
		return err
	}
	repository := config.NewRepository(config.RepositoryConfig{Store: client, Clock: clock.NewService(clock.ServiceConfig{})})
	record, err := repository.Commit(ctx, change)
	if err != nil {
		return err
	}
	fmt.Printf("version=%d\n", record.Version)
	return nil
}

// readFile returns the content of a file, or of standard input if path is -.
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
