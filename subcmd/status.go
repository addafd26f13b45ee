package subcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/spread"
)

// statusCommand prints on how many instances a version is in force.
type statusCommand struct {
	adminAccess

	version int64
}

func (*statusCommand) name() string { return "status" }

func (*statusCommand) summary() string { return "show on how many instances a version is in force" }

func (*statusCommand) help() string {
	return `Status prints on how many of the live instances a version, or a later one, is in
force.`
}

func (command *statusCommand) flags() []cli.Flag {
	return command.adminAccess.flags(&cli.Int64Flag{
		Name: "of-version", Usage: "version to ask about; 0 means the one in force at the entry that answers", Destination: &command.version,
	})
}

func (command *statusCommand) run(ctx context.Context, _ []string) error {
	var rollout spread.Rollout
	err := command.tryRead(ctx, func(ctx context.Context, client *admin.Client) error {
		version := config.Version(command.version)
		if version == 0 {
			snapshot, err := client.Show(ctx)
			if err != nil {
				return err
			}
			version = snapshot.Version()
		}
		var err error
		rollout, err = client.Rollout(ctx, version)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("version=%d inForceOn=%d of=%d\n", rollout.Version, rollout.Instances, rollout.Live)
	return nil
}
