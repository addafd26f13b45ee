package engine

import "github.com/basilkeel/basilkeel/names"

// Report is the state that an engine reports. It may be out of date.
type Report struct {
	// Boot identifies a run of the engine. It changes with each start, after
	// which nothing is resident.
	Boot string
	// Applied is the last order that the report includes.
	Applied Fence
	// MemoryBytes is the size of the accelerator memory.
	MemoryBytes int64
	// UsedBytes is the memory used by weights, adapters and the KV cache.
	UsedBytes int64
	Resident  []Resident
	// Running and Waiting count generations.
	Running int
	Waiting int
	Role    Role
}

// Resident is one model or adapter in accelerator memory.
type Resident struct {
	Model   names.Model
	Adapter names.Adapter
	Bytes   int64
	// Loading reports whether the weights are still being loaded. Their memory
	// is already in use.
	Loading bool
}
