package policy

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Service is a set of equivalent backend servers.
type Service struct {
	Name names.Service
	// Engine is nil if the service runs no models.
	Engine *Engine
	// ColdStart is how long a backend server is cold after its start, and ColdPerSecond
	// how many requests a second it accepts then. Both are zero if servers are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// ColdFault says why one of them is not as declared, or is empty.
	ColdFault string
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// WeightsMB is the memory that an engine has for weights and adapters.
	WeightsMB float64
	// AdapterSlots is how many adapters an engine can hold.
	AdapterSlots int
	// LoadsPerSecond bounds the rate of loads from the weight store, over all engines.
	LoadsPerSecond float64
	// CacheTokens is an engine's memory for the tokens of running requests and cached
	// prompts, or zero if it is unknown.
	CacheTokens int64
	// EventTokens is the number of output tokens in an event of a stream, or zero if it is
	// unknown.
	EventTokens int64
	Models      map[names.Model]Model
}

// Model is one base model that operators offer.
type Model struct {
	Name names.Model
	// WeightsMB and AdapterMB are the memory that the model and one adapter of it take.
	WeightsMB float64
	AdapterMB float64
	// LoadTime, DiskLoadTime and MemoryLoadTime are the times to load the model from
	// the weight store, the engine's disk and the engine's host memory.
	LoadTime       time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
	// Adapters is the number of adapters, which are named a1, a2 and so on.
	Adapters int
}
