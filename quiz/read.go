package quiz

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

const (
	// maxNumber bounds every number, so that products don't overflow.
	maxNumber = 1_000_000
	// maxFailureDomains bounds the failure domains and the copies of a model.
	maxFailureDomains = 64
	maxDelay          = 7 * 24 * time.Hour
	// maxNames bounds the names in one answer.
	maxNames = config.MaxAdapters
	decimal  = 10
)

func readInteger[T any](field func(*T) *int64, lowest int64) func(*T, string) string {
	return readBounded(field, lowest, maxNumber)
}

func readBounded[T any](field func(*T) *int64, lowest, highest int64) func(*T, string) string {
	return func(record *T, text string) string {
		value, err := strconv.ParseInt(text, decimal, 64)
		if err != nil || value < lowest || value > highest {
			return fmt.Sprintf("%q is not a whole number from %d to %d", text, lowest, highest)
		}
		*field(record) = value
		return ""
	}
}

// readNumber returns a reader of positive numbers; zero is allowed if zero is
// true.
func readNumber[T any](field func(*T) *float64, zero bool) func(*T, string) string {
	return func(record *T, text string) string {
		value, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil || math.IsNaN(value) || value < 0 || value > maxNumber:
			return fmt.Sprintf("%q is not a number from 0 to %d", text, maxNumber)
		case value < 1e-6 && (value > 0 || !zero):
			return fmt.Sprintf("%q is too small", text)
		}
		*field(record) = value
		return ""
	}
}

func readPercent[T any](field func(*T) *float64) func(*T, string) string {
	return func(record *T, text string) string {
		value, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
		if err != nil || math.IsNaN(value) || value < 1 || value > percent {
			return fmt.Sprintf("%q is not a percentage from 1 to 100", text)
		}
		*field(record) = value
		return ""
	}
}

func readDelay[T any](field func(*T) *time.Duration) func(*T, string) string {
	return func(record *T, text string) string {
		value, err := time.ParseDuration(text)
		if err != nil || value < 0 || value > maxDelay || value%time.Millisecond != 0 {
			return fmt.Sprintf("%q is not a time such as 460ms, 2s or 8h (whole milliseconds, at most 168h; 0 means no bound)", text)
		}
		*field(record) = value
		return ""
	}
}

func readBool[T any](field func(*T) *bool) func(*T, string) string {
	return func(record *T, text string) string {
		switch strings.ToLower(text) {
		case "y", "yes", "true":
			*field(record) = true
		case "n", "no", "false":
			*field(record) = false
		default:
			return fmt.Sprintf("%q is neither yes nor no", text)
		}
		return ""
	}
}

func readName[T any](field func(*T) *string) func(*T, string) string {
	return func(record *T, text string) string {
		if problem := nameProblem(text); problem != "" {
			return problem
		}
		*field(record) = text
		return ""
	}
}

// readNames returns a reader of comma-separated names, in which a-[01-03] stands
// for a-01, a-02 and a-03.
func readNames[T any](field func(*T) *[]string) func(*T, string) string {
	return func(record *T, text string) string {
		list, problem := expandNames(text)
		if problem != "" {
			return problem
		}
		*field(record) = list
		return ""
	}
}

func expandNames(text string) (list []string, problem string) {
	seen := map[string]bool{}
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		expanded, problem := expandRange(item)
		if problem != "" {
			return nil, problem
		}
		for _, name := range expanded {
			if problem := nameProblem(name); problem != "" {
				return nil, problem
			}
			if seen[name] {
				return nil, fmt.Sprintf("%q appears twice", name)
			}
			seen[name] = true
		}
		list = append(list, expanded...)
		if len(list) > maxNames {
			return nil, fmt.Sprintf("has more than %d names", maxNames)
		}
	}
	return list, ""
}

// expandRange expands the range in a name, such as [01-03]. A name has at most
// one range.
func expandRange(item string) (list []string, problem string) {
	before, rest, hasRange := strings.Cut(item, "[")
	if !hasRange {
		return []string{item}, ""
	}
	inner, after, closed := strings.Cut(rest, "]")
	low, high, dashed := strings.Cut(inner, "-")
	first, firstErr := strconv.ParseUint(low, decimal, 16)
	last, lastErr := strconv.ParseUint(high, decimal, 16)
	if !closed || !dashed || firstErr != nil || lastErr != nil || first > last || last-first >= maxNames || len(low) > len("65535") {
		return nil, fmt.Sprintf("%q has no range such as [01-05] of at most %d names", item, maxNames)
	}
	for number := first; number <= last; number++ {
		list = append(list, fmt.Sprintf("%s%0*d%s", before, len(low), number, after))
	}
	return list, ""
}

// nameProblem returns why name is not valid in a configuration, or "" if it is
// valid.
func nameProblem(name string) string {
	account := config.NewClientAccount(config.ClientAccountConfig{Name: names.ClientAccount(name), Weight: 1})
	faults := config.Faults(config.NewSnapshot(config.SnapshotConfig{Accounts: []config.ClientAccount{account}}))
	if len(faults) == 0 {
		return ""
	}
	return fmt.Sprintf("%q %s", name, faults[0].Problem)
}
