package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/names"
)

// keyWithdrawCommand withdraws an access key.
type keyWithdrawCommand struct {
	adminAccess

	key string
	id  string
}

func (*keyWithdrawCommand) name() string { return "withdraw" }

func (*keyWithdrawCommand) summary() string { return "withdraw an access key" }

func (*keyWithdrawCommand) help() string {
	return `Withdraw revokes an access key permanently, whatever version is the latest. All
entries refuse the key within 5 s of the answer; its running answers are cut.`
}

func (command *keyWithdrawCommand) flags() []cli.Flag {
	return command.adminAccess.flags(
		&cli.StringFlag{Name: "name", Usage: "name of the key", Destination: &command.key, Required: true},
		changeIDFlag(&command.id),
	)
}

func (command *keyWithdrawCommand) run(ctx context.Context, _ []string) error {
	id := newChangeID(command.id)
	var outcome admin.Outcome
	err := command.tryRepeatable(ctx, func(ctx context.Context, client *admin.Client) (err error) {
		outcome, err = client.WithdrawKey(ctx, id, names.Key(command.key))
		return err
	})
	if err != nil {
		return err
	}
	return printOutcome(outcome)
}
