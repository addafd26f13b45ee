package trace

import (
	"fmt"
	"io"
	"time"
)

// contextBefore is how long before a request what was believed is told: the
// registry and the coordinator change within seconds.
const contextBefore = 10 * time.Second

// Explanation is one request's life.
type Explanation struct {
	request string
	// lines are the request's own, beliefs what was believed meanwhile.
	lines   []Line
	beliefs []Line
}

// Found tells whether any line is about the request.
func (explanation *Explanation) Found() bool { return len(explanation.lines) > 0 }

// Lines are the request's own, by time.
func (explanation *Explanation) Lines() []Line { return explanation.lines }

// Context are lines about what the request depended on, by time.
func (explanation *Explanation) Context() []Line { return explanation.beliefs }

// Explain picks the lines that explain a request.
func Explain(lines []Line, request string) *Explanation {
	explanation := &Explanation{request: request}
	touched := subjects{}
	for _, line := range lines {
		if line.Field("request") == request {
			explanation.lines = append(explanation.lines, line)
			touched.add(line)
		}
	}
	if !explanation.Found() {
		return explanation
	}
	first, last := explanation.lines[0].time, explanation.lines[len(explanation.lines)-1].time
	took := time.Duration(0)
	if _, err := fmt.Sscan(explanation.lines[len(explanation.lines)-1].Field("ms"), (*int64)(&took)); err == nil {
		took *= time.Millisecond
	}
	from := first.Add(-took - contextBefore)
	for _, line := range lines {
		if line.belief() && !line.time.Before(from) && !line.time.After(last) && touched.concerns(line) {
			explanation.beliefs = append(explanation.beliefs, line)
		}
	}
	return explanation
}

// belief tells whether a line is about more than one request.
func (line Line) belief() bool {
	return line.Field("request") == "" || line.name == "serverEjected" || line.name == "serverReturned"
}

// subjects are what a request touched.
type subjects struct {
	instances map[string]bool
	servers   map[string]bool
	models    map[string]bool
}

func (subjects *subjects) add(line Line) {
	if subjects.instances == nil {
		subjects.instances, subjects.servers, subjects.models = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	subjects.instances[line.instance] = true
	if server := line.Field("server"); server != "" {
		subjects.servers[server] = true
	}
	if model := line.Field("model"); model != "" {
		subjects.models[model] = true
	}
}

// concerns tells whether a line is about what the request depended on: its
// server, wherever that was noted; orders for its model; and what its instance
// knew of policy, registry and coordinator.
func (subjects *subjects) concerns(line Line) bool {
	if server := line.Field("server"); server != "" {
		return subjects.servers[server] && (subjects.instances[line.instance] || line.name != "serverListed")
	}
	if model := line.Field("load"); model != "" {
		return subjects.models[model]
	}
	return subjects.instances[line.instance]
}

// Write writes the explanation as text, with times in milliseconds from the
// request's first line.
func (explanation *Explanation) Write(writer io.Writer) error {
	origin := explanation.lines[0].time
	if _, err := fmt.Fprintf(writer, "request %s, first line at %s\n", explanation.request, origin.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	sections := []struct {
		title string
		lines []Line
	}{{"decisions", explanation.lines}, {"believed meanwhile", explanation.beliefs}}
	for _, section := range sections {
		if _, err := fmt.Fprintf(writer, "\n%s\n", section.title); err != nil {
			return err
		}
		for _, line := range section.lines {
			offset := line.time.Sub(origin).Milliseconds()
			if _, err := fmt.Fprintf(writer, "%8d ms  %-16s %s\n", offset, line.instance, line); err != nil {
				return err
			}
		}
	}
	return nil
}
