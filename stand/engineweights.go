package stand

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// engineWeightsKey identifies a model or, if adapter is not empty, an adapter of
// it.
type engineWeightsKey struct {
	model   names.Model
	adapter names.Adapter
}

// engineWeights is the size and load state of one model or adapter.
type engineWeights struct {
	bytes int64
	// readyAt is when loading completes, unless the weights are still being
	// fetched then.
	readyAt  time.Time
	fetching bool
	loading  bool
	// unloading means that the memory is freed at freeAt.
	unloading bool
	freeAt    time.Time
	// loadNumber identifies the load of the weights; it is zero for weights
	// resident at the first boot.
	loadNumber int64
}

func (engineWeights *engineWeights) usable() bool {
	return !engineWeights.loading && !engineWeights.unloading
}
