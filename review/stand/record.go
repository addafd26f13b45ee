//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with the time since its start.
type record struct {
	began time.Time
	// mutex guards lines.
	mutex sync.Mutex
	lines []string
}

func newRecord() *record { return &record{began: time.Now()} }

func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.lines = append(record.lines, fmt.Sprintf("%8.3f ", time.Since(record.began).Seconds())+fmt.Sprintf(format, arguments...))
}

func (record *record) write(path string) error {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return os.WriteFile(path, []byte(strings.Join(record.lines, "\n")+"\n"), 0o600)
}
