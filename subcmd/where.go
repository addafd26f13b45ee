package subcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/node"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/trunk"
)

// whereCommand asks an entry where a request would go.
type whereCommand struct {
	entry        string
	host         string
	path         string
	service      string
	model        string
	adapter      string
	account      string
	promptTokens int64
	outputTokens int64
	form         string

	// output is standard output, except in tests.
	output io.Writer
}

func (*whereCommand) name() string { return "where" }

func (*whereCommand) summary() string { return "show where a request would be sent now, and why" }

func (*whereCommand) help() string {
	return `Where asks a running entry of basilkeel serve where a request would be sent now, and
prints the route and the service, the verdict, and each candidate with the parts of
its estimate and what excluded it, the best first. Nothing is sent and nothing is
reserved. Keys, the limits of accounts and quarantined requests are not considered.`
}

func (command *whereCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "address of the entry's readiness probes, as host:port", Destination: &command.entry, Required: true},
		&cli.StringFlag{Name: "host", Usage: "host of the request, which finds the route with --path", Destination: &command.host},
		&cli.StringFlag{Name: "path", Value: "/", Usage: "path of the request", Destination: &command.path},
		&cli.StringFlag{
			Name: "service", Usage: "service to ask about: a target of the route, or, without --host, of the first route that sends to it",
			Destination: &command.service,
		},
		&cli.StringFlag{Name: "model", Usage: "model of the request", Destination: &command.model},
		&cli.StringFlag{Name: "adapter", Usage: "adapter of the request", Destination: &command.adapter},
		&cli.StringFlag{Name: "account", Usage: "name of the client account", Destination: &command.account},
		&cli.Int64Flag{Name: "prompt-tokens", Value: -1, Usage: "tokens of the prompt; -1 means unspecified", Destination: &command.promptTokens},
		&cli.Int64Flag{Name: "output-tokens", Value: -1, Usage: "largest number of tokens of the response; -1 means unspecified", Destination: &command.outputTokens},
		&cli.StringFlag{Name: "form", Value: formText, Usage: "text or json", Destination: &command.form},
	}
}

func (command *whereCommand) run(ctx context.Context, _ []string) error {
	var faults []setup.Fault
	if command.host == "" && command.service == "" {
		faults = append(faults, setup.Fault{Flag: "host", Problem: "is required without --service"})
	}
	if command.form != formText && command.form != formJSON {
		faults = append(faults, setup.Fault{Flag: "form", Problem: "is none of text, json"})
	}
	if len(faults) > 0 {
		return &setup.ValidationError{Faults: faults}
	}
	encoded, err := command.fetch(ctx)
	if err != nil {
		return err
	}
	if command.form == formJSON {
		var indented bytes.Buffer
		if err := json.Indent(&indented, encoded, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(command.output, indented.String())
		return err
	}
	var report node.WhereReport
	if err := json.Unmarshal(encoded, &report); err != nil {
		return err
	}
	return writeWhere(command.output, &report)
}

// fetch returns the entry's answer.
func (command *whereCommand) fetch(ctx context.Context) ([]byte, error) {
	values := url.Values{}
	for name, value := range map[string]string{
		"host": command.host, "path": command.path, "service": command.service, "model": command.model, "adapter": command.adapter, "account": command.account,
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	for name, tokens := range map[string]int64{"promptTokens": command.promptTokens, "outputTokens": command.outputTokens} {
		if tokens >= 0 {
			values.Set(name, strconv.FormatInt(tokens, 10))
		}
	}
	target := url.URL{Scheme: "http", Host: command.entry, Path: node.WherePath, RawQuery: values.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: reportTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := trunk.CheckHead(response); err != nil {
		return nil, err
	}
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("%s answered %s: %s", command.entry, response.Status, strings.TrimSpace(string(encoded)))
	}
	return encoded, nil
}

// writeWhere writes a report as text.
func writeWhere(output io.Writer, report *node.WhereReport) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "route\t%s\nservice\t%s\n", orNone(report.Route), orNone(report.Service))
	if len(report.Targets) > 1 {
		targets := make([]string, 0, len(report.Targets))
		for _, target := range report.Targets {
			targets = append(targets, fmt.Sprintf("%s=%g", target.Service, target.Weight))
		}
		fmt.Fprintf(writer, "targets\t%s\n", strings.Join(targets, " "))
	}
	fmt.Fprintf(writer, "scheduled\t%t\ndecided by\t%s\n", report.Scheduled, orNone(report.DecidedBy))
	if report.Unscheduled != "" {
		fmt.Fprintf(writer, "not by the coordinator\t%s\n", report.Unscheduled)
	}
	fmt.Fprintf(writer, "verdict\t%s\n", describeVerdict(&report.Verdict))
	if err := writer.Flush(); err != nil || len(report.Candidates) == 0 {
		return err
	}
	fmt.Fprintln(output)
	writeCandidates(writer, report)
	return writer.Flush()
}

// writeCandidates writes the candidates as a table. The columns are the parts of the first
// candidate that has any; all others have the same.
func writeCandidates(writer io.Writer, report *node.WhereReport) {
	var parts []node.WherePart
	for _, candidate := range report.Candidates {
		if len(candidate.Parts) > 0 {
			parts = candidate.Parts
			break
		}
	}
	fmt.Fprintf(writer, "server\ttotal (%s)", report.Unit)
	for _, part := range parts {
		fmt.Fprintf(writer, "\t%s", part.Name)
	}
	fmt.Fprintln(writer, "\texcluded\tnotes")
	for _, candidate := range report.Candidates {
		total := "-"
		if len(candidate.Parts) > 0 {
			total = formatFigure(candidate.Total, report.Unit)
		}
		cells := append(make([]string, 0, len(parts)+4), candidate.Server, total)
		for index := range parts {
			cell := "-"
			if index < len(candidate.Parts) {
				cell = formatFigure(candidate.Parts[index].Value, report.Unit)
			}
			cells = append(cells, cell)
		}
		cells = append(cells, orNone(candidate.Excluded), orNone(strings.Join(candidate.Notes, " ")))
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
}

func describeVerdict(verdict *node.WhereVerdict) string {
	var words []string
	add := func(shown bool, format string, values ...any) {
		if shown {
			words = append(words, fmt.Sprintf(format, values...))
		}
	}
	add(true, "%s", verdict.Kind)
	add(verdict.Server != "", "to %s in %s", verdict.Server, orNone(verdict.Domain))
	add(verdict.Status != 0, "status=%d", verdict.Status)
	add(verdict.Reason != "", "reason=%s", verdict.Reason)
	add(verdict.WaitMs > 0, "wait=%.1fms", verdict.WaitMs)
	add(verdict.FirstMs > 0, "first=%.1fms", verdict.FirstMs)
	add(verdict.RetryAfterMs > 0, "retryAfter=%.0fms", verdict.RetryAfterMs)
	add(verdict.Load > 0, "load=%.2f", verdict.Load)
	add(verdict.AdapterMissing, "adapterMissing")
	add(verdict.PermitNeeded, "permitNeeded")
	return strings.Join(words, " ")
}

// formatFigure formats a part of an estimate.
func formatFigure(value float64, unit string) string {
	if unit == node.UnitMilliseconds {
		return strconv.FormatFloat(value, 'f', 1, 64)
	}
	return strconv.FormatFloat(value, 'f', 3, 64)
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
