package subcmd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/quiz"
	"github.com/basilkeel/basilkeel/setup"
)

// changeFileMode is the mode of the file with the change, which holds no secrets.
const changeFileMode = 0o644

// quizCommand makes the configuration of a new team from its answers to questions.
type quizCommand struct {
	answers string
	current string
	change  string
	apply   bool
	access  quizAccess

	// input and output are standard input and output, except in tests.
	input  io.Reader
	output io.Writer
	lines  *bufio.Scanner
}

func (*quizCommand) name() string { return "quiz" }

func (*quizCommand) summary() string { return "make the configuration of a new team from its answers" }

func (*quizCommand) help() string {
	return `Quiz asks for a team's engine, models, tolerable delays, plain services and client
accounts, interactively or from a file of answers. It checks that the answers fit
together, prints their consequences, the accelerators needed and the difference from
the configuration in force, and writes the change to a file or applies it. If no
configuration is given, it starts from an empty one. In interactive use, ? explains
a question, an empty line takes the default, and back returns to the previous
question.`
}

func (command *quizCommand) flags() []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "answers", Usage: "file with answers as JSON; by default they are asked for interactively", Destination: &command.answers},
		&cli.StringFlag{Name: "current", Usage: "file with the configuration in force, if no entry is named", Destination: &command.current},
		&cli.StringFlag{Name: "change", Usage: "file to write the change to", Destination: &command.change},
		&cli.BoolFlag{Name: "apply", Usage: "apply the change through the entry and issue its keys", Destination: &command.apply},
	}, command.access.flags()...)
}

func (command *quizCommand) run(ctx context.Context, _ []string) error {
	if err := command.validate(); err != nil {
		return err
	}
	if command.output == nil {
		command.input, command.output = os.Stdin, os.Stdout
	}
	command.lines = bufio.NewScanner(command.input)
	current, err := command.currentSnapshot(ctx)
	if err != nil {
		return err
	}
	answers, err := command.readAnswers()
	if err != nil {
		return err
	}
	plan, err := quiz.NewPlan(answers, current)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "%s%s", plan.Explain(), plan.FormatDifferences())
	if err := command.writeChange(plan); err != nil {
		return err
	}
	if !command.apply || !command.confirm() {
		return nil
	}
	return command.applyPlan(ctx, plan)
}

func (command *quizCommand) validate() error {
	var faults []setup.Fault
	if command.apply && command.access.url == "" {
		faults = append(faults, setup.Fault{Flag: "entry", Problem: "is required with --apply"})
	}
	if command.current != "" && command.access.url != "" {
		faults = append(faults, setup.Fault{Flag: "current", Problem: "is not used with --entry"})
	}
	if len(faults) > 0 {
		return &setup.ValidationError{Faults: faults}
	}
	return nil
}

// currentSnapshot returns the configuration that the change starts from: the one in
// force at the entry, that of a file, or an empty one.
func (command *quizCommand) currentSnapshot(ctx context.Context) (*config.Snapshot, error) {
	switch {
	case command.access.url != "":
		client, err := command.access.client()
		if err != nil {
			return nil, err
		}
		return client.Show(ctx)
	case command.current != "":
		content, err := os.ReadFile(command.current)
		if err != nil {
			return nil, err
		}
		snapshot, err := config.DecodeSnapshot(content)
		return snapshot, merry.Prepend(err, command.current)
	default:
		return config.NewSnapshot(config.SnapshotConfig{}), nil
	}
}

// readAnswers returns the answers from the file, or from an interactive session.
func (command *quizCommand) readAnswers() (quiz.Answers, error) {
	if command.answers == "" {
		return command.runSession()
	}
	content, err := os.ReadFile(command.answers)
	if err != nil {
		return quiz.Answers{}, err
	}
	answers, err := quiz.Decode(content)
	if err != nil {
		return quiz.Answers{}, merry.Errorf("%s is not acceptable:\n%w", command.answers, err)
	}
	return answers, nil
}

// runSession asks the questions interactively and returns the answers.
func (command *quizCommand) runSession() (quiz.Answers, error) {
	session := quiz.NewSession()
	for !session.Done() {
		fmt.Fprintf(command.output, "%s", session.Prompt())
		if !command.lines.Scan() {
			return quiz.Answers{}, merry.Wrap(firstError(command.lines.Err(), io.ErrUnexpectedEOF), merry.WithMessage("the answers ended before the last question"))
		}
		fmt.Fprintf(command.output, "%s", session.Enter(command.lines.Text()))
	}
	return session.Answers(), nil
}

// firstError returns err, or other where err is nil.
func firstError(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

func (command *quizCommand) writeChange(plan *quiz.Plan) error {
	if command.change == "" {
		return nil
	}
	encoded := append(config.EncodeChange(plan.Change()), '\n')
	if err := os.WriteFile(command.change, encoded, changeFileMode); err != nil {
		return err
	}
	fmt.Fprintf(command.output, "The change is written to %s.\n", command.change)
	return nil
}

// confirm asks the user of an interactive session whether to apply the change. It
// returns true without asking if the answers come from a file.
func (command *quizCommand) confirm() bool {
	if command.answers != "" {
		return true
	}
	fmt.Fprintf(command.output, "Apply this change? Type yes: ")
	confirmed := command.lines.Scan() && command.lines.Text() == "yes"
	if !confirmed {
		fmt.Fprintln(command.output, "Nothing is applied.")
	}
	return confirmed
}
