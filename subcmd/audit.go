package subcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// auditCommand lists accepted changes with their edits, of all operators or of one.
type auditCommand struct {
	historyCommand

	operator string
}

func (*auditCommand) name() string { return "audit" }

func (*auditCommand) summary() string { return "list who changed what" }

func (*auditCommand) help() string {
	return `Audit lists accepted changes as history does, each with the digest of its edits
and the descriptions of the edits that its record keeps, of all operators or of
one.`
}

func (command *auditCommand) flags() []cli.Flag {
	return append(command.historyCommand.flags(), &cli.StringFlag{
		Name: "operator", Usage: "list only the changes of this operator, among those selected by the other flags", Destination: &command.operator,
	})
}

func (command *auditCommand) run(ctx context.Context, _ []string) error {
	records, err := command.records(ctx)
	for _, record := range records {
		if command.operator != "" && command.operator != record.Operator {
			continue
		}
		printRecord(record)
		fmt.Printf("    digest %s\n", record.Digest)
		for _, edit := range record.Summary {
			fmt.Printf("    %s\n", edit)
		}
		if hidden := record.Edits - len(record.Summary); hidden > 0 {
			fmt.Printf("    and %d more\n", hidden)
		}
	}
	return err
}
