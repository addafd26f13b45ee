package config

import "github.com/basilkeel/basilkeel/names"

// ModelConfig carries the fields of a [Model].
type ModelConfig struct {
	Name names.Model
	// WeightBytes is the accelerator memory that the weights occupy.
	WeightBytes int64
	// CacheBytesPerToken is the KV cache memory that one token of context
	// occupies.
	CacheBytesPerToken int64
	// Adapters lists the adapters that can be used with the model.
	Adapters []Adapter
}

// Model is one version of a base model. It is immutable.
type Model struct {
	config ModelConfig
}

// NewModel returns the model described by config.
func NewModel(config ModelConfig) Model { return Model{config: config} }

// Name identifies the model and its version.
func (model Model) Name() names.Model { return model.config.Name }

// WeightBytes is the accelerator memory that the weights occupy.
func (model Model) WeightBytes() int64 { return model.config.WeightBytes }

// CacheBytesPerToken is the KV cache memory that one token of context occupies.
func (model Model) CacheBytesPerToken() int64 { return model.config.CacheBytesPerToken }

// Adapters lists the adapters that can be used with the model. The caller must
// not change the slice.
func (model Model) Adapters() []Adapter { return model.config.Adapters }
