package subcmd

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/trace"
)

// explainCommand prints the history of one request from logs.
type explainCommand struct{}

func (*explainCommand) name() string { return "explain" }

func (*explainCommand) summary() string { return "show the history of one request from logs" }

func (*explainCommand) help() string {
	return `Explain reads log lines of any number of instances from the files that follow the
request's identifier, or from standard input. It prints the decisions about the
request in order, and what was known meanwhile about the backend servers and models
involved. Times are by the clocks of the instances.`
}

func (*explainCommand) flags() []cli.Flag { return nil }

func (*explainCommand) run(_ context.Context, arguments []string) error {
	if len(arguments) == 0 {
		return &MissingArgumentError{Argument: "the identifier of a request"}
	}
	lines, err := readLogs(arguments[1:])
	if err != nil {
		return err
	}
	explanation := trace.Explain(lines, arguments[0])
	if !explanation.Found() {
		return &UnknownRequestError{Request: arguments[0], Lines: len(lines)}
	}
	return explanation.Write(os.Stdout)
}

// MissingArgumentError reports a command line without a required argument.
type MissingArgumentError struct {
	Argument string
}

// Error implements error.
func (missingArgumentError *MissingArgumentError) Error() string {
	return fmt.Sprintf("%s is required", missingArgumentError.Argument)
}

// UnknownRequestError reports a request that no log line is about.
type UnknownRequestError struct {
	Request string
	// Lines is the number of log lines read.
	Lines int
}

// Error implements error.
func (unknownRequestError *UnknownRequestError) Error() string {
	return fmt.Sprintf("none of %d log lines is about request %q", unknownRequestError.Lines, unknownRequestError.Request)
}
