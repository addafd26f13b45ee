package trace

import (
	"fmt"
	"io"
	"time"
)

// contextBefore is how long before a request its context begins: the registry
// and the coordinator change within seconds.
const contextBefore = 10 * time.Second

// Explanation is the history of one request.
type Explanation struct {
	request string
	// lines are about the request itself.
	lines []Line
	// context is what the instances logged meanwhile about servers, models and
	// configuration that the request depended on.
	context []Line
}

// Found reports whether any line is about the request.
func (explanation *Explanation) Found() bool { return len(explanation.lines) > 0 }

// Lines returns the lines about the request itself, sorted by time.
func (explanation *Explanation) Lines() []Line { return explanation.lines }

// Context returns the lines about what the request depended on, sorted by time.
func (explanation *Explanation) Context() []Line { return explanation.context }

// Explain returns the explanation of a request from lines, which are sorted by
// time.
func Explain(lines []Line, request string) *Explanation {
	explanation := &Explanation{request: request}
	touched := dependencies{}
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
		if line.isContext() && !line.time.Before(from) && !line.time.After(last) && touched.affectedBy(line) {
			explanation.context = append(explanation.context, line)
		}
	}
	return explanation
}

// isContext reports whether a line is about more than one request. Some lines about a
// server affect others than the request that they name.
func (line Line) isContext() bool {
	switch line.name {
	case "serverEjected", "serverReturned", "serverRateDeclared", "serverRateEnded":
		return true
	default:
		return line.Field("request") == ""
	}
}

// dependencies are the instances, servers and models that a request involved.
type dependencies struct {
	instances map[string]bool
	servers   map[string]bool
	models    map[string]bool
}

func (dependencies *dependencies) add(line Line) {
	if dependencies.instances == nil {
		dependencies.instances, dependencies.servers, dependencies.models = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	dependencies.instances[line.instance] = true
	if server := line.Field("server"); server != "" {
		dependencies.servers[server] = true
	}
	if model := line.Field("model"); model != "" {
		dependencies.models[model] = true
	}
}

// affectedBy reports whether a line is about something that the request depended
// on. A line that names a server counts if the request involved the server; if it
// reports the server's registry entry, one of the request's instances must also
// have logged it. Of the other lines, one that names a model to load counts if the
// request involved the model, and any other, such as one about the policy or the
// coordinator, if one of the request's instances logged it.
func (dependencies *dependencies) affectedBy(line Line) bool {
	if server := line.Field("server"); server != "" {
		return dependencies.servers[server] && (dependencies.instances[line.instance] || line.name != "serverListed")
	}
	if model := line.Field("load"); model != "" {
		return dependencies.models[model]
	}
	return dependencies.instances[line.instance]
}

// Write writes the explanation as text, with times in milliseconds relative to
// the request's first line. [Explanation.Found] must be true.
func (explanation *Explanation) Write(writer io.Writer) error {
	origin := explanation.lines[0].time
	if _, err := fmt.Fprintf(writer, "request %s, first line at %s\n", explanation.request, origin.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	sections := []struct {
		title string
		lines []Line
	}{{"decisions", explanation.lines}, {"believed meanwhile", explanation.context}}
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
