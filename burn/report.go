package burn

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Report is the service level of a fleet, merged from its entries.
type Report struct {
	rows []Row
	// unreached lists the entries that gave no counts.
	unreached []string
}

// ReportConfig carries what a [Report] is made of.
type ReportConfig struct {
	// Entries holds the rows of each entry.
	Entries [][]Row
	// Unreached lists the entries that gave no counts.
	Unreached []string
}

// NewReport merges the rows of many entries.
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
	for _, total := range merged {
		report.rows = append(report.rows, NewRow(*total))
	}
	sortRows(report.rows)
	return report
}

// Rows lists the rows, by window, fastest burn first.
func (report *Report) Rows() []Row { return report.rows }

// Unreached lists the entries whose counts are missing.
func (report *Report) Unreached() []string { return report.unreached }

// Window returns the rows of one window, fastest burn first.
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
