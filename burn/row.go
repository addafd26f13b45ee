package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// RowConfig carries the fields of a [Row].
type RowConfig struct {
	Account names.ClientAccount
	Kind    call.Kind
	Window  time.Duration
	// Share is the fraction of requests that is owed the objective.
	Share  float64
	Counts Counts
	// Covered is how much of the window the counting entry has been up for.
	Covered time.Duration
}

// Row is the service level of one client account and kind over one window.
type Row struct {
	config RowConfig
}

// NewRow returns the row described by config.
func NewRow(config RowConfig) Row { return Row{config: config} }

// Account is whose requests the row counts.
func (row Row) Account() names.ClientAccount { return row.config.Account }

// Kind is which requests the row counts.
func (row Row) Kind() call.Kind { return row.config.Kind }

// Window is the time that the row looks back.
func (row Row) Window() time.Duration { return row.config.Window }

// Covered is the part of the window that was counted.
func (row Row) Covered() time.Duration { return row.config.Covered }

// Share is the fraction of requests that is owed the objective.
func (row Row) Share() float64 { return row.config.Share }

// Counts returns what was counted.
func (row Row) Counts() Counts { return row.config.Counts }

// MissRate is the fraction of requests that missed their objective.
func (row Row) MissRate() float64 {
	counts := row.config.Counts
	if counts.Total() == 0 {
		return 0
	}
	return float64(counts.TotalMissed()) / float64(counts.Total())
}

// BurnRate is the missed fraction relative to the one allowed.
func (row Row) BurnRate() float64 {
	allowed := 1 - row.config.Share
	if allowed <= 0 {
		allowed = minAllowedShare
	}
	return row.MissRate() / allowed
}

// TopCause is the cause of most misses, and CauseNone where there are none.
func (row Row) TopCause() Cause {
	worst := CauseNone
	most := int64(0)
	for _, cause := range Causes() {
		if missed := row.config.Counts.missed[cause]; missed > most {
			worst, most = cause, missed
		}
	}
	return worst
}

// minAllowedShare stands for the budget of an objective that allows no miss.
const minAllowedShare = 0.0001

// sortRows puts the shortest window first, and in it the fastest burn.
func sortRows(rows []Row) {
	slices.SortFunc(rows, func(left, right Row) int {
		return cmp.Or(
			cmp.Compare(left.Window(), right.Window()),
			cmp.Compare(right.BurnRate(), left.BurnRate()),
			cmp.Compare(left.Account(), right.Account()),
			cmp.Compare(left.Kind(), right.Kind()),
		)
	})
}
