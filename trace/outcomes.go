package trace

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// OutcomeCounts holds how many requests of each route ended with which result and
// cause.
type OutcomeCounts struct {
	counts map[outcomeKey]int
	// totals maps routes to their number of requests.
	totals map[string]int
}

// outcomeKey is one way in which requests of a route ended.
type outcomeKey struct {
	route  string
	result string
	cause  string
}

// CountOutcomes counts the log lines that report the end of a request.
func CountOutcomes(lines []Line) *OutcomeCounts {
	outcomeCounts := &OutcomeCounts{counts: map[outcomeKey]int{}, totals: map[string]int{}}
	for _, line := range lines {
		result, cause, ok := requestOutcome(line)
		if !ok {
			continue
		}
		route := line.Field("route")
		if route == "" {
			route = "(no route)"
		}
		outcomeCounts.counts[outcomeKey{route: route, result: result, cause: cause}]++
		outcomeCounts.totals[route]++
	}
	return outcomeCounts
}

// requestOutcome returns how a request ended, and false if the line does not
// report the end of a request.
func requestOutcome(line Line) (result, cause string, ok bool) {
	switch line.Name() {
	case "requestDone":
		switch {
		case line.Field("status") >= "400":
			return "error of the server", line.Field("status"), true
		case line.Field("late") != "":
			return "late", line.Field("late"), true
		default:
			return "in time", "", true
		}
	case "requestRefused":
		return "refused", line.Field("reason"), true
	case "requestFailed":
		return "failed", line.Field("reason"), true
	case "requestCut":
		return "cut", "server broke off", true
	case "requestLeft":
		return "caller left", "", true
	default:
		return "", "", false
	}
}

// Write writes a table of the outcomes of each route with their share of the
// route's requests. Routes with the most requests and, within a route, the most
// frequent outcomes come first.
func (outcomeCounts *OutcomeCounts) Write(writer io.Writer) error {
	keys := make([]outcomeKey, 0, len(outcomeCounts.counts))
	for key := range outcomeCounts.counts {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		switch {
		case outcomeCounts.totals[a.route] != outcomeCounts.totals[b.route]:
			return outcomeCounts.totals[a.route] > outcomeCounts.totals[b.route]
		case a.route != b.route:
			return a.route < b.route
		case outcomeCounts.counts[a] != outcomeCounts.counts[b]:
			return outcomeCounts.counts[a] > outcomeCounts.counts[b]
		default:
			return a.result+a.cause < b.result+b.cause
		}
	})
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	// The tabwriter returns write errors from Flush.
	_, _ = fmt.Fprintln(table, "route\toutcome\tcause\trequests\tpart")
	for _, key := range keys {
		count := outcomeCounts.counts[key]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.3f\n", key.route, key.result, key.cause, count, float64(count)/float64(outcomeCounts.totals[key.route]))
	}
	return table.Flush()
}
