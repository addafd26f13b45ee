package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// RowConfig configures a [Row].
type RowConfig struct {
	Account names.ClientAccount
	Kind    call.Kind
	Window  time.Duration
	// Share is the fraction of requests that must meet the objective.
	Share  float64
	Counts Counts
	// Covered is the part of the window during which the entry was counting; for
	// merged rows, the longest of all entries.
	Covered time.Duration
}

// Row is the service level of one client account and kind of request over one
// window.
type Row struct {
	config RowConfig
}

// NewRow returns the row described by config.
func NewRow(config RowConfig) Row { return Row{config: config} }

// Account returns the client account whose requests the row counts.
func (row Row) Account() names.ClientAccount { return row.config.Account }

// Kind returns the kind of the requests that the row counts.
func (row Row) Kind() call.Kind { return row.config.Kind }

// Window returns the length of time that the row covers.
func (row Row) Window() time.Duration { return row.config.Window }

// Covered returns the part of the window during which requests were counted.
func (row Row) Covered() time.Duration { return row.config.Covered }

// Share returns the fraction of requests that must meet the objective.
func (row Row) Share() float64 { return row.config.Share }

// Counts returns the row's counts.
func (row Row) Counts() Counts { return row.config.Counts }

// MissRate returns the fraction of requests that missed their objective.
func (row Row) MissRate() float64 {
	counts := row.config.Counts
	if counts.Total() == 0 {
		return 0
	}
	return float64(counts.TotalMissed()) / float64(counts.Total())
}

// BurnRate returns the fraction of requests that missed their objective, divided
// by the fraction that may miss it.
func (row Row) BurnRate() float64 {
	allowed := 1 - row.config.Share
	if allowed <= 0 {
		allowed = minAllowedShare
	}
	return row.MissRate() / allowed
}

// TopCause returns the cause of most misses, or CauseNone if there are none.
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

// minAllowedShare is the fraction of misses allowed by an objective whose share
// is 1. It keeps the burn rate finite.
const minAllowedShare = 0.0001

// sortRows sorts by window, shortest first, then by burn rate, highest first.
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
