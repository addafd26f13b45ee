package burn

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
)

// RecorderConfig configures a [Recorder].
type RecorderConfig struct {
	Clock  *clock.Service
	Source config.Source
}

// Recorder counts the requests of one entry. It is safe for concurrent use.
type Recorder struct {
	config  RecorderConfig
	started time.Time

	// mu guards series.
	mu     sync.Mutex
	series []*series
}

// NewRecorder returns a recorder without counts.
func NewRecorder(config RecorderConfig) *Recorder {
	recorder := &Recorder{config: config, started: config.Clock.Now()}
	for _, resolution := range resolutions {
		recorder.series = append(recorder.series, newSeries(resolution))
	}
	return recorder
}

// Record counts one request. It ignores requests without a client account.
func (recorder *Recorder) Record(sample Sample) {
	if sample.Account == "" {
		return
	}
	cause, counted := classify(sample, recorder.objective(sample.Kind))
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for _, series := range recorder.series {
		series.at(sample.At, accountKind{account: sample.Account, kind: sample.Kind}).add(cause, counted, sample.Tokens)
	}
}

// Rows returns the counts of every active account and kind over every window.
func (recorder *Recorder) Rows() []Row {
	now := recorder.config.Clock.Now()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	rows := make([]Row, 0, len(Windows()))
	for _, window := range Windows() {
		sums := make(map[accountKind]*Counts)
		recorder.series[resolutionIndex(window)].sum(now, window, sums)
		for key, counts := range sums {
			rows = append(rows, NewRow(RowConfig{
				Account: key.account, Kind: key.kind, Window: window,
				Share: recorder.objective(key.kind).Share(), Counts: *counts,
				Covered: min(window, now.Sub(recorder.started)),
			}))
		}
	}
	sortRows(rows)
	return rows
}

func (recorder *Recorder) objective(kind call.Kind) call.Objective {
	snapshot := recorder.config.Source.Current()
	if snapshot == nil {
		return call.Objective{}
	}
	return snapshot.Objective(kind)
}
