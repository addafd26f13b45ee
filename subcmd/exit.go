package subcmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/setup"
)

// Exit codes of the commands.
const (
	// ExitFailure is the code after a failure at work.
	ExitFailure = 1
	// ExitSettings is the code for settings that are not acceptable.
	ExitSettings = 2
	// ExitConflict is the code for a change that another one came before.
	ExitConflict = 3
	// ExitLostAnswer is the code for a change that may have taken effect and is
	// to be repeated with the same id.
	ExitLostAnswer = 4
)

// ReportError writes err to writer and returns the exit code that it asks for.
func ReportError(writer io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(writer, err)
	var faultsError *setup.FaultsError
	if errors.As(err, &faultsError) {
		return ExitSettings
	}
	var conflictError *config.ConflictError
	if errors.As(err, &conflictError) {
		return ExitConflict
	}
	var lost *lostAnswerError
	if errors.As(err, &lost) {
		return ExitLostAnswer
	}
	return ExitFailure
}
