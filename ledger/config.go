package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Default durations of a [Config].
const (
	DefaultOrderLifetime  = 3 * time.Second
	DefaultRecordValidity = 10 * time.Second
	DefaultReportValidity = 5 * time.Second
	DefaultReportLag      = 5 * time.Second
	DefaultRetryWait      = time.Second
	DefaultReportPeriod   = 500 * time.Millisecond
)

// Config configures a [Ledger]. Zero durations take the defaults.
type Config struct {
	// Instance is the agent's name, which changes with each restart.
	Instance names.Instance
	// Address is where the agent listens, if being bound to it proves that no
	// earlier process with the same address still runs; empty otherwise.
	Address string
	// MemoryBytes is the size of the engine's accelerator memory.
	MemoryBytes int64
	// OrderLifetime bounds how long after it was sent an order or generation, or
	// a duplicate of it, can still reach the engine.
	OrderLifetime time.Duration
	// RecordValidity is how long an agent may send after a read or write
	// confirmed its record.
	RecordValidity time.Duration
	// ReportValidity is how long an agent may send after it requested a report
	// that showed its own epoch, even if its record is not confirmed.
	ReportValidity time.Duration
	// ReportLag bounds the age of a report at the time the engine sends it.
	ReportLag time.Duration
	// RetryWait is the delay before an order, cancellation or read is repeated.
	RetryWait time.Duration
	// ReportPeriod is the interval at which reports are requested.
	ReportPeriod time.Duration
}

func (config Config) withDefaults() Config {
	setDefault(&config.OrderLifetime, DefaultOrderLifetime)
	setDefault(&config.RecordValidity, DefaultRecordValidity)
	setDefault(&config.ReportValidity, DefaultReportValidity)
	setDefault(&config.ReportLag, DefaultReportLag)
	setDefault(&config.RetryWait, DefaultRetryWait)
	setDefault(&config.ReportPeriod, DefaultReportPeriod)
	return config
}

func setDefault(value *time.Duration, defaultValue time.Duration) {
	if *value == 0 {
		*value = defaultValue
	}
}
