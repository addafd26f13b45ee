package policy

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Service is a set of alike backend servers.
type Service struct {
	Name names.Service
	// Engine is nil where the service runs no models.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// WeightsMB is the memory of an engine for weights and adapters.
	WeightsMB float64
	// AdapterSlots is how many adapters an engine holds.
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         map[names.Model]Model
}

// Model is one base model that operators offer.
type Model struct {
	Name names.Model
	// WeightsMB and AdapterMB are what the model and one adapter of it occupy.
	WeightsMB float64
	AdapterMB float64
	// LoadTime, DiskLoad and MemoryLoad are the times to load it from the weight
	// store, the engine's disk and the engine's host memory.
	LoadTime       time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
	// Adapters counts the adapters, named a1, a2 and so on.
	Adapters int
}
