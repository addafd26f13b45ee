package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// checker validates settings and collects their faults.
type checker struct {
	faults []Fault
}

func (checker *checker) report(flag, format string, values ...any) {
	checker.faults = append(checker.faults, Fault{Flag: flag, Problem: fmt.Sprintf(format, values...)})
}

// err returns a *[ValidationError], or nil if there are no faults.
func (checker *checker) err() error {
	if len(checker.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: checker.faults}
}

func (checker *checker) required(flag, value string) bool {
	if value == "" {
		checker.report(flag, "is required")
		return false
	}
	return true
}

func (checker *checker) address(flag, value string) {
	if !checker.required(flag, value) {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		checker.report(flag, "%q is not an IP number with a port", value)
	}
}

func (checker *checker) url(flag, value string) {
	if !checker.required(flag, value) {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		checker.report(flag, "%q is not an http or https URL", value)
	}
}

func (checker *checker) file(flag, path string) {
	if path == "" {
		return
	}
	info, err := os.Stat(path)
	switch {
	case err != nil:
		checker.report(flag, "%v", err)
	case info.IsDir():
		checker.report(flag, "%s is a directory", path)
	}
}

func (checker *checker) positive(flag string, value int64) {
	if value <= 0 {
		checker.report(flag, "%d is not above zero", value)
	}
}

func (checker *checker) above(flag string, value float64) {
	if !(value > 0) {
		checker.report(flag, "%v is not above zero", value)
	}
}

func (checker *checker) between(flag string, value, lowest, highest time.Duration) {
	if value < lowest || value > highest {
		checker.report(flag, "%v is not between %v and %v", value, lowest, highest)
	}
}

func (checker *checker) level(flag, value string) {
	if _, err := logrus.ParseLevel(value); err != nil {
		checker.report(flag, "%q is not a log level", value)
	}
}
