package subcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
)

// showCommand prints the configuration in force.
type showCommand struct {
	adminAccess
}

func (*showCommand) name() string { return "show" }

func (*showCommand) summary() string { return "print the configuration in force" }

func (*showCommand) help() string {
	return `Show prints the configuration in force at the entry that answers, as JSON with its
version. Keys appear as hashes.`
}

func (command *showCommand) flags() []cli.Flag { return command.adminAccess.flags() }

func (command *showCommand) run(ctx context.Context, _ []string) error {
	var snapshot *config.Snapshot
	err := command.tryRead(ctx, func(ctx context.Context, client *admin.Client) (err error) {
		snapshot, err = client.Show(ctx)
		return err
	})
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, config.EncodeSnapshot(snapshot), "", "  "); err != nil {
		return err
	}
	fmt.Println(indented.String())
	return nil
}
