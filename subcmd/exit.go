package subcmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/setup"
)

// Exit codes of the programs.
const (
	// ExitFailure is the code for failures without a code of their own.
	ExitFailure = 1
	// ExitSettings is the code for invalid settings.
	ExitSettings = 2
	// ExitConflict is the code for a change that was refused because another one
	// was made since the version it expects.
	ExitConflict = 3
	// ExitLostAnswer is the code for a change that may have taken effect. It can
	// be repeated safely with the same change id.
	ExitLostAnswer = 4
)

// ReportError writes err to writer and returns the exit code for it, 0 if err is
// nil.
func ReportError(writer io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(writer, err)
	var validationError *setup.ValidationError
	if errors.As(err, &validationError) {
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
