package subcmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// latestVersion is the value of --expected that means the version in force at the
// entry that answers.
const latestVersion = -1

// keyIssueCommand issues an access key.
type keyIssueCommand struct {
	adminAccess

	key      string
	account  string
	id       string
	expected int64
}

func (*keyIssueCommand) name() string { return "issue" }

func (*keyIssueCommand) summary() string { return "issue an access key and print its secret once" }

func (*keyIssueCommand) help() string {
	return `Issue creates an access key of a client account and prints its secret, which is not
stored anywhere. If the answer is lost, so is the secret: withdraw the key if it
exists, and issue one with another name.`
}

func (command *keyIssueCommand) flags() []cli.Flag {
	return command.adminAccess.flags(
		&cli.StringFlag{Name: "name", Usage: "name of the key", Destination: &command.key, Required: true},
		&cli.StringFlag{Name: "account", Usage: "client account of the key", Destination: &command.account, Required: true},
		changeIDFlag(&command.id),
		&cli.Int64Flag{Name: "expected", Value: latestVersion, Usage: "version that the change is made for; -1 means the one in force", Destination: &command.expected},
	)
}

func (command *keyIssueCommand) run(ctx context.Context, _ []string) error {
	id := newChangeID(command.id)
	var outcome admin.Outcome
	var secret string
	err := command.tryOnce(ctx, func(ctx context.Context, client *admin.Client) error {
		expected := config.Version(command.expected)
		if command.expected == latestVersion {
			snapshot, err := client.Show(ctx)
			if err != nil {
				return err
			}
			expected = snapshot.Version()
		}
		var err error
		outcome, secret, err = client.IssueKey(ctx, id, expected, names.Key(command.key), names.ClientAccount(command.account))
		return err
	})
	var lost *lostAnswerError
	if errors.As(err, &lost) {
		return merry.Errorf("the answer was lost and with it the secret; withdraw the key %s if it exists and issue one of another name: %v", command.key, lost.cause)
	}
	if err != nil {
		return err
	}
	fmt.Printf("secret=%s\n", secret)
	return printOutcome(outcome)
}
