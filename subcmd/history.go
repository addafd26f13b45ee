package subcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
)

// defaultHistoryLimit is how many changes are listed if no limit is given.
const defaultHistoryLimit = 50

// historyCommand lists accepted changes.
type historyCommand struct {
	adminAccess

	before int64
	limit  int64
}

func (*historyCommand) name() string { return "history" }

func (*historyCommand) summary() string { return "list accepted changes, latest first" }

func (*historyCommand) help() string {
	return `History lists accepted changes, latest first: version, time, operator, change id and
number of edits.`
}

func (command *historyCommand) flags() []cli.Flag {
	return command.adminAccess.flags(
		&cli.Int64Flag{Name: "before", Usage: "list changes that made a version lower than this; 0 means all", Destination: &command.before},
		&cli.Int64Flag{Name: "limit", Value: defaultHistoryLimit, Usage: "most changes to list, up to 1000", Destination: &command.limit},
	)
}

func (command *historyCommand) run(ctx context.Context, _ []string) error {
	records, err := command.records(ctx)
	for _, record := range records {
		printRecord(record)
	}
	return err
}

// records returns the changes that the flags ask for, latest first.
func (command *historyCommand) records(ctx context.Context) ([]config.Record, error) {
	var records []config.Record
	err := command.tryRead(ctx, func(ctx context.Context, client *admin.Client) (err error) {
		records, err = client.History(ctx, config.Version(command.before), int(command.limit))
		return err
	})
	return records, err
}

func printRecord(record config.Record) {
	fmt.Printf("%d %s %s %s edits=%d\n", record.Version, record.At.Format(time.RFC3339), record.Operator, record.ChangeID, record.Edits)
}
