package subcmd

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/trace"
)

// lossesCommand counts from logs how requests ended.
type lossesCommand struct{}

func (*lossesCommand) name() string { return "losses" }

func (*lossesCommand) summary() string { return "count how requests ended, from logs" }

func (*lossesCommand) help() string {
	return `Losses reads log lines of any number of instances from files, or from standard
input, and prints for each route how many requests were answered in time, late,
refused, failed or cut, by cause. Each attempt of a caller counts separately.`
}

func (*lossesCommand) flags() []cli.Flag { return nil }

func (*lossesCommand) run(_ context.Context, arguments []string) error {
	lines, err := readLogs(arguments)
	if err != nil {
		return err
	}
	return trace.CountOutcomes(lines).Write(os.Stdout)
}

// readLogs returns the log lines of the files, or of standard input if paths is
// empty.
func readLogs(paths []string) ([]trace.Line, error) {
	var readers []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		readers = append(readers, file)
	}
	if len(readers) == 0 {
		readers = append(readers, os.Stdin)
	}
	lines, _, err := trace.Read(io.MultiReader(readers...))
	return lines, err
}
