package config

import "github.com/basilkeel/basilkeel/names"

// AdapterConfig carries the fields of an [Adapter].
type AdapterConfig struct {
	Name names.Adapter
	// WeightBytes is the accelerator memory that the adapter occupies.
	WeightBytes int64
}

// Adapter is a set of fine-tuned weights applied on top of a base model. It is
// immutable.
type Adapter struct {
	config AdapterConfig
}

// NewAdapter returns the adapter described by config.
func NewAdapter(config AdapterConfig) Adapter { return Adapter{config: config} }

// Name identifies the adapter.
func (adapter Adapter) Name() names.Adapter { return adapter.config.Name }

// WeightBytes is the accelerator memory that the adapter occupies.
func (adapter Adapter) WeightBytes() int64 { return adapter.config.WeightBytes }
