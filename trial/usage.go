package trial

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	kibibyte  = 1024
	// userField and systemField are the positions of the processor times among the
	// fields that follow the program name in /proc/PID/stat.
	userField   = 11
	systemField = 12
)

// Usage is the resource usage of a process.
type Usage struct {
	// Processor is the processor time since its start.
	Processor time.Duration
	// ResidentBytes is its resident memory.
	ResidentBytes int64
}

// Usage returns the resource usage of the process so far, read from /proc.
func (process *Process) Usage() (Usage, error) {
	directory := fmt.Sprintf("/proc/%d/", process.command.Process.Pid)
	line, err := os.ReadFile(directory + "stat")
	if err != nil {
		return Usage{}, err
	}
	// The program name is in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(line), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return Usage{}, merry.Errorf("unexpected format of /proc/PID/stat of %s", process.name)
	}
	var ticks int64
	for _, field := range []string{fields[userField], fields[systemField]} {
		count, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return Usage{}, err
		}
		ticks += count
	}
	resident, err := residentBytes(directory + "status")
	return Usage{Processor: time.Duration(ticks) * clockTick, ResidentBytes: resident}, err
}

func residentBytes(path string) (int64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return count * kibibyte, err
	}
	return 0, merry.Errorf("%s has no VmRSS line", path)
}
