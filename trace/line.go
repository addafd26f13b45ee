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

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of an instance's log.
type Line struct {
	time     time.Time
	instance string
	name     string
	fields   map[string]any
}

// Time returns when the line was written, by the clock of its instance.
func (line Line) Time() time.Time { return line.time }

// Instance returns the instance that wrote the line.
func (line Line) Instance() string { return line.instance }

// Name returns the name of the event that the line reports.
func (line Line) Name() string { return line.name }

// Field returns the value of a field as text, or "" if the line has no such
// field.
func (line Line) Field(name string) string {
	value, found := line.fields[name]
	if !found || value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// hiddenFields are left out of [Line.String]: they only repeat the line's time,
// instance and name, or follow from the name.
var hiddenFields = map[string]bool{"time": true, "instance": true, "msg": true, "level": true, "event": true}

// String returns the line's name, followed by its fields sorted by name.
func (line Line) String() string {
	names := make([]string, 0, len(line.fields))
	for name := range line.fields {
		if !hiddenFields[name] && line.Field(name) != "" {
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

// Read reads log lines and returns them sorted by time, with the number of lines
// that it skipped because they are not log lines. Text before the first brace of
// a line, such as the prefix of a log collector, is ignored.
func Read(reader io.Reader) ([]Line, int, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	skipped := 0
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time.Before(lines[j].time) })
	return lines, skipped, scanner.Err()
}

// parseLine parses a log line and reports whether it is one: a JSON object with a
// time and a name.
func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{}
	if json.Unmarshal(data[start:], &line.fields) != nil {
		return Line{}, false
	}
	writtenAt, err := time.Parse(time.RFC3339Nano, line.Field("time"))
	if err != nil {
		return Line{}, false
	}
	line.time, line.instance, line.name = writtenAt, line.Field("instance"), line.Field("msg")
	return line, line.name != ""
}
