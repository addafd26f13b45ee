package quiz

// Engine describes the capacity of one accelerator and of the fleet.
type Engine struct {
	// Accelerators is the number of available accelerators. Zero means not
	// decided.
	Accelerators         int64
	AcceleratorGigabytes float64
	FailureDomains       int64
	// PromptTokensPerSecond and OutputTokensPerSecond are the throughput of one
	// accelerator with a full batch.
	PromptTokensPerSecond float64
	OutputTokensPerSecond float64
	// StreamTokensPerSecond is the output rate of one request in a full batch.
	StreamTokensPerSecond float64
	// UtilizationPercent is the highest utilization of the accelerators under the
	// expected load.
	UtilizationPercent float64
}
