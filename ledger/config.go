package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Defaults of a ledger's times.
const (
	DefaultOrderLifetime  = 3 * time.Second
	DefaultRecordValidity = 10 * time.Second
	DefaultReportValidity = 5 * time.Second
	DefaultReportLag      = 5 * time.Second
	DefaultRetryWait      = time.Second
	DefaultReportPeriod   = 500 * time.Millisecond
)

// Config carries what a [Ledger] is built from. Zero times take the defaults.
type Config struct {
	// Instance is the agent's own name, new after each restart.
	Instance names.Instance
	// Address is where the agent listens, if holding it proves that no earlier
	// process with the same address lives on; empty if it does not.
	Address string
	// MemoryBytes is the size of the engine's accelerator memory.
	MemoryBytes int64
	// OrderLifetime bounds how long after its sending an order or generation,
	// or a second copy of it, can still reach the engine.
	OrderLifetime time.Duration
	// RecordValidity is how long after its record was confirmed an agent may send.
	RecordValidity time.Duration
	// ReportValidity is how long an agent may send after it asked for a report that
	// showed its own epoch, without the platform's service.
	ReportValidity time.Duration
	// ReportLag bounds how old a report is when the engine sends it.
	ReportLag time.Duration
	// RetryWait comes before a failed step is repeated.
	RetryWait time.Duration
	// ReportPeriod is the time between two reports.
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
