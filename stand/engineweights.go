package stand

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// engineWeightsKey identifies a model, or an adapter of it.
type engineWeightsKey struct {
	model   names.Model
	adapter names.Adapter
}

// engineWeights is what one model or adapter takes.
type engineWeights struct {
	bytes int64
	// readyAt is when loading ends unless the weights are still being fetched.
	readyAt  time.Time
	fetching bool
	loading  bool
	// unloading tells that the memory is freed at freeAt.
	unloading bool
	freeAt    time.Time
	// loadNumber numbers the load that brought the weights.
	loadNumber int64
}

func (engineWeights *engineWeights) usable() bool {
	return !engineWeights.loading && !engineWeights.unloading
}
