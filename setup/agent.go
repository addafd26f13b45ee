package setup

import (
	"time"

	"github.com/urfave/cli/v3"
)

// Agent contains the settings of an agent.
type Agent struct {
	Process

	Server       string
	EngineURL    string
	PlainURL     string
	Service      string
	Slots        int64
	MemoryBytes  int64
	QueueLength  int64
	ReportPeriod time.Duration
	ReportLag    time.Duration
}

const (
	defaultSlots        = 32
	defaultQueueLength  = 10000
	defaultReportPeriod = 200 * time.Millisecond
	defaultReportLag    = 5 * time.Second
	maxReportLag        = time.Minute
	minReportPeriod     = 10 * time.Millisecond
	maxReportPeriod     = 10 * time.Second
)

// Flags returns the command-line flags of an agent.
func (agent *Agent) Flags() []cli.Flag {
	return append(
		agent.Process.Flags(),
		stringFlag(&agent.Server, "server", "", "identifier of the backend server beside this agent"),
		stringFlag(&agent.EngineURL, "engine-url", "", "URL of the model engine beside this agent"),
		stringFlag(&agent.PlainURL, "plain-url", "", "URL of the plain service beside this agent"),
		stringFlag(&agent.Service, "service", "", "name of the plain service, as in /svc/<service>/"),
		intFlag(&agent.Slots, "slots", defaultSlots, "requests that the backend server runs at once"),
		intFlag(&agent.MemoryBytes, "memory-bytes", 0, "accelerator memory of the model engine; 0 uses the value in the engine's first report"),
		intFlag(&agent.QueueLength, "queue-length", defaultQueueLength, "most requests that wait in the agent's queue"),
		durationFlag(&agent.ReportPeriod, "report-period", defaultReportPeriod, "time between requests for a load report to the model engine"),
		durationFlag(&agent.ReportLag, "report-lag", defaultReportLag, "greatest age of the data in a report of the model engine"),
	)
}

// Validate returns a *[ValidationError] with every invalid setting, or nil.
func (agent *Agent) Validate() error {
	checker := &checker{}
	agent.check(checker)
	checker.required("server", agent.Server)
	switch {
	case agent.EngineURL == "" && agent.PlainURL == "":
		checker.report("engine-url", "one of engine-url and plain-url is required")
	case agent.EngineURL != "" && agent.PlainURL != "":
		checker.report("engine-url", "engine-url and plain-url cannot both be given")
	case agent.EngineURL != "":
		checker.url("engine-url", agent.EngineURL)
	default:
		checker.url("plain-url", agent.PlainURL)
		checker.required("service", agent.Service)
	}
	checker.positive("slots", agent.Slots)
	checker.positive("queue-length", agent.QueueLength)
	checker.between("report-lag", agent.ReportLag, 0, maxReportLag)
	if agent.MemoryBytes < 0 {
		checker.report("memory-bytes", "%d is below zero", agent.MemoryBytes)
	}
	checker.between("report-period", agent.ReportPeriod, minReportPeriod, maxReportPeriod)
	return checker.err()
}
