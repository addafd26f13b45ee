package burn

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Report is the service level of a fleet, merged from the counts of its
// entries.
type Report struct {
	rows []Row
	// unreached lists the entries that returned no counts.
	unreached []string
}

// ReportConfig configures a [Report].
type ReportConfig struct {
	// Entries holds the rows of each entry.
	Entries [][]Row
	// Unreached lists the entries that returned no counts.
	Unreached []string
}

// NewReport returns a report that merges the rows of several entries.
func NewReport(config ReportConfig) *Report {
	type rowKey struct {
		accountKind
		window time.Duration
	}
	merged := make(map[rowKey]*RowConfig)
	for _, rows := range config.Entries {
		for _, row := range rows {
			key := rowKey{accountKind: accountKind{account: row.Account(), kind: row.Kind()}, window: row.Window()}
			total := merged[key]
			if total == nil {
				copied := row.config
				merged[key] = &copied
				continue
			}
			counts := row.Counts()
			total.Counts.merge(&counts)
			total.Covered = max(total.Covered, row.Covered())
		}
	}
	report := &Report{unreached: slices.Clone(config.Unreached)}
	for _, rowConfig := range merged {
		report.rows = append(report.rows, NewRow(*rowConfig))
	}
	sortRows(report.rows)
	return report
}

// Rows returns all rows, shortest window first and within a window the highest
// burn rate first.
func (report *Report) Rows() []Row { return report.rows }

// Unreached returns the entries that returned no counts.
func (report *Report) Unreached() []string { return report.unreached }

// Window returns the rows of one window, highest burn rate first.
func (report *Report) Window(window time.Duration) []Row {
	var rows []Row
	for _, row := range report.rows {
		if row.Window() == window {
			rows = append(rows, row)
		}
	}
	return rows
}

// row returns the row of an account and kind over a window.
func (report *Report) row(account names.ClientAccount, kind call.Kind, window time.Duration) (Row, bool) {
	for _, row := range report.rows {
		if row.Account() == account && row.Kind() == kind && row.Window() == window {
			return row, true
		}
	}
	return Row{}, false
}
