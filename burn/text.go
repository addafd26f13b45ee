package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as tables.
func (report *Report) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	for _, window := range Windows() {
		rows := report.Window(window)
		if len(rows) == 0 {
			continue
		}
		fmt.Fprintf(table, "last %s\n", formatDuration(window))
		fmt.Fprintln(table, "account\tkind\trequests\tmissed\tburn rate\tbudget spent\tmost by\tcounted")
		for _, row := range rows {
			counts := row.Counts()
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.2f\t%.1f%%\t%s\t%s\n", row.Account(), row.Kind(), counts.Total(),
				counts.TotalMissed(), row.BurnRate(), row.BurnRate()*percent, row.TopCause(), formatDuration(row.Covered()))
		}
		fmt.Fprintln(table)
	}
	for _, alert := range report.Alerts() {
		fmt.Fprintln(table, formatAlert(alert))
	}
	if len(report.unreached) > 0 {
		fmt.Fprintf(table, "not reached: %s\n", strings.Join(report.unreached, ", "))
	}
	return table.Flush()
}

// WriteUsage writes what each client account was charged.
func (report *Report) WriteUsage(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "window\taccount\tkind\trequests\ttokens\ttokens a request")
	for _, row := range report.rows {
		counts := row.Counts()
		each := 0.0
		if counts.Total() > 0 {
			each = float64(counts.Tokens()) / float64(counts.Total())
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%.1f\n", formatDuration(row.Window()), row.Account(), row.Kind(), counts.Total(), counts.Tokens(), each)
	}
	return table.Flush()
}

// percent converts a fraction into a percentage.
const percent = 100

func formatAlert(alert Alert) string {
	return fmt.Sprintf("ALERT %s: %s %s burns at %.1f over %s and %.1f over %s, limit %.1f", alert.Rule.Name,
		alert.Account, alert.Kind, alert.LongRate, formatDuration(alert.Rule.Long), alert.ShortRate, formatDuration(alert.Rule.Short), alert.Rule.Rate)
}

// formatDuration formats a duration without trailing zero minutes and seconds.
func formatDuration(duration time.Duration) string {
	text := duration.Round(time.Second).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
