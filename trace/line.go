package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// longestLine bounds a log line.
const longestLine = 1 << 20

// Line is one log line.
type Line struct {
	time     time.Time
	instance string
	name     string
	fields   map[string]any
}

// Time is when the line was written, by the clock of its instance.
func (line Line) Time() time.Time { return line.time }

// Instance wrote the line.
func (line Line) Instance() string { return line.instance }

// Name is the event's name.
func (line Line) Name() string { return line.name }

// Field returns a field as text, empty where there is none.
func (line Line) Field(name string) string {
	value, found := line.fields[name]
	if !found || value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// hidden fields say nothing beyond the line's time, instance and name.
var hidden = map[string]bool{"time": true, "instance": true, "msg": true, "level": true, "event": true}

// String returns the line's name and fields in a fixed order.
func (line Line) String() string {
	names := make([]string, 0, len(line.fields))
	for name := range line.fields {
		if !hidden[name] && line.Field(name) != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := append(make([]string, 0, 1+len(names)), line.name)
	for _, name := range names {
		parts = append(parts, name+"="+line.Field(name))
	}
	return strings.Join(parts, " ")
}

// Read reads log lines and returns them by time, with the number of lines that
// are no log lines. What stands before a line's first brace is passed over.
func Read(reader io.Reader) ([]Line, int, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), longestLine)
	var lines []Line
	skipped := 0
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time.Before(lines[j].time) })
	return lines, skipped, scanner.Err()
}

func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{}
	if json.Unmarshal(data[start:], &line.fields) != nil {
		return Line{}, false
	}
	written, err := time.Parse(time.RFC3339Nano, line.Field("time"))
	if err != nil {
		return Line{}, false
	}
	line.time, line.instance, line.name = written, line.Field("instance"), line.Field("msg")
	return line, line.name != ""
}
