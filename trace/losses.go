package trace

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// OutcomeCounts counts how requests ended, by route and cause.
type OutcomeCounts struct {
	counts map[ending]int
	// totals counts the requests of each route.
	totals map[string]int
}

// ending is how a request of a route ended.
type ending struct {
	route   string
	outcome string
	cause   string
}

// CountOutcomes counts the ends of requests in lines.
func CountOutcomes(lines []Line) *OutcomeCounts {
	outcomeCounts := &OutcomeCounts{counts: map[ending]int{}, totals: map[string]int{}}
	for _, line := range lines {
		outcome, cause, ends := endOf(line)
		if !ends {
			continue
		}
		route := line.Field("route")
		if route == "" {
			route = "(no route)"
		}
		outcomeCounts.counts[ending{route: route, outcome: outcome, cause: cause}]++
		outcomeCounts.totals[route]++
	}
	return outcomeCounts
}

// endOf tells how a request ended, where the line is about that.
func endOf(line Line) (outcome, cause string, ends bool) {
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

// Write prints a table: for each route its ends, the most frequent first, with
// their part of the route's requests.
func (outcomeCounts *OutcomeCounts) Write(writer io.Writer) error {
	endings := make([]ending, 0, len(outcomeCounts.counts))
	for each := range outcomeCounts.counts {
		endings = append(endings, each)
	}
	sort.Slice(endings, func(i, j int) bool {
		a, b := endings[i], endings[j]
		switch {
		case outcomeCounts.totals[a.route] != outcomeCounts.totals[b.route]:
			return outcomeCounts.totals[a.route] > outcomeCounts.totals[b.route]
		case a.route != b.route:
			return a.route < b.route
		case outcomeCounts.counts[a] != outcomeCounts.counts[b]:
			return outcomeCounts.counts[a] > outcomeCounts.counts[b]
		default:
			return a.outcome+a.cause < b.outcome+b.cause
		}
	})
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	// Errors of a tabwriter come with Flush.
	_, _ = fmt.Fprintln(table, "route\toutcome\tcause\trequests\tpart")
	for _, each := range endings {
		count := outcomeCounts.counts[each]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.3f\n", each.route, each.outcome, each.cause, count, float64(count)/float64(outcomeCounts.totals[each.route]))
	}
	return table.Flush()
}
