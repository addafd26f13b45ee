package quiz

// ModelGroup describes models with the same properties.
type ModelGroup struct {
	Names                  []string
	WeightGigabytes        float64
	CacheKilobytesPerToken float64
	ContextTokens          int64
	// ParallelRequests is the number of requests that one copy serves at once.
	ParallelRequests int64
	Copies           int64
	// Adapters names the adapters that each model has.
	Adapters         []string
	AdapterMegabytes float64
}
