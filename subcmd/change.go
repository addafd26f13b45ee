package subcmd

import (
	"context"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
)

// fromFile is the expected version that means the one in the file.
const fromFile = -1

// changeCommand makes a change, or tells what it would do.
type changeCommand struct {
	adminAccess

	dry      bool
	file     string
	id       string
	expected int64
}

func (command *changeCommand) name() string {
	if command.dry {
		return "dry-run"
	}
	return "apply"
}

func (command *changeCommand) summary() string {
	if command.dry {
		return "tell what a change would do"
	}
	return "make a change of the configuration"
}

func (command *changeCommand) help() string {
	if command.dry {
		return `Dry-run tells each part of the configuration that a change would add (+), remove
(-) or alter (~), and changes nothing.`
	}
	return `Apply makes a change from a file with changeId, expectedVersion and edits; the
flags go before the file. A change whose answer was lost is repeated with the same
change id and takes effect once; an id that was made up is printed first. If
another change came first, it is named with its operator, and this one has no
effect.`
}

func (command *changeCommand) flags() []cli.Flag {
	return command.adminAccess.flags(
		&cli.StringFlag{Name: "file", Usage: "file with the change as JSON; - reads standard input", Destination: &command.file, Required: true},
		changeIDFlag(&command.id),
		&cli.Int64Flag{Name: "expected", Value: fromFile, Usage: "version that the change is made for; -1 takes it from the file", Destination: &command.expected},
	)
}

func (command *changeCommand) run(ctx context.Context, _ []string) error {
	change, err := command.load()
	if err != nil {
		return err
	}
	if command.dry {
		return command.try(ctx, change)
	}
	var outcome admin.Outcome
	err = command.repeatable(ctx, func(ctx context.Context, client *admin.Client) (err error) {
		outcome, err = client.Apply(ctx, change)
		return err
	})
	if err != nil {
		return err
	}
	return tellOutcome(outcome)
}

func (command *changeCommand) load() (config.Change, error) {
	content, err := readFile(command.file)
	if err != nil {
		return config.Change{}, err
	}
	change, err := config.DecodeChange(content)
	if err != nil {
		return config.Change{}, merry.Prependf(err, "%s", command.file)
	}
	if command.expected != fromFile {
		change.Expected = config.Version(command.expected)
	}
	if command.id != "" {
		change.ID = config.ChangeID(command.id)
	}
	if change.ID == "" {
		change.ID = newChangeID("")
	}
	return change, nil
}

func (command *changeCommand) try(ctx context.Context, change config.Change) error {
	var differences []config.Difference
	err := command.read(ctx, func(ctx context.Context, client *admin.Client) (err error) {
		differences, err = client.DryRun(ctx, change)
		return err
	})
	if err != nil {
		return err
	}
	for _, difference := range differences {
		tellDifference(difference)
	}
	return nil
}

func tellDifference(difference config.Difference) {
	switch difference.Action {
	case config.ActionAdded:
		fmt.Printf("+ %s %s\n", difference.Path, difference.After)
	case config.ActionRemoved:
		fmt.Printf("- %s %s\n", difference.Path, difference.Before)
	case config.ActionChanged:
		fmt.Printf("~ %s\n    - %s\n    + %s\n", difference.Path, difference.Before, difference.After)
	}
}

func changeIDFlag(into *string) cli.Flag {
	return &cli.StringFlag{Name: "change-id", Usage: "id by which a repeat of the change is known; made up where there is none", Destination: into}
}

// newChangeID returns id, or one that is made up and told, so that the change
// can be repeated.
func newChangeID(id string) config.ChangeID {
	if id == "" {
		id = uuid.NewString()
		fmt.Fprintf(os.Stderr, "changeId=%s\n", id)
	}
	return config.ChangeID(id)
}

// tellOutcome prints what became of a change. A change that is stored and
// announced nowhere is a failure that its repeat mends.
func tellOutcome(outcome admin.Outcome) error {
	fmt.Printf("version=%d changeId=%s operator=%s inForceOn=%d of=%d\n", outcome.Record.Version,
		outcome.Record.ChangeID, outcome.Record.Operator, outcome.Rollout.Instances, outcome.Rollout.Live)
	if !outcome.Announced {
		return merry.Errorf("the change is stored, but no failure domain could be told; repeat it with the same change id at another entry")
	}
	return nil
}
