package stand

// EngineTruth is the current state of a stand-in engine, without the lag of its
// reports.
type EngineTruth struct {
	Boot        string
	MemoryBytes int64
	UsedBytes   int64
	PeakBytes   int64
	// Violations is the number of changes and steps after which memory use
	// exceeded the size of the memory.
	Violations int
	Crashes    int
}
