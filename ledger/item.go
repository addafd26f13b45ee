package ledger

import (
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// Item identifies a model or an adapter of a model.
type Item struct {
	Model names.Model
	// Adapter is empty for the model itself.
	Adapter names.Adapter
}

// Weights is an item with the memory that its weights occupy.
type Weights struct {
	Item  Item
	Bytes int64
}

// base returns the model that item is or belongs to.
func (item Item) base() Item { return Item{Model: item.Model} }

func (item Item) less(other Item) bool {
	if item.Model != other.Model {
		return item.Model < other.Model
	}
	return item.Adapter < other.Adapter
}

func (weights Weights) loadAction() engine.Action {
	item := weights.Item
	if item.Adapter == "" {
		return engine.LoadModel{Model: item.Model, Bytes: weights.Bytes}
	}
	return engine.LoadAdapter{Model: item.Model, Adapter: item.Adapter, Bytes: weights.Bytes}
}

func (item Item) unloadAction() engine.Action {
	if item.Adapter == "" {
		return engine.UnloadModel{Model: item.Model}
	}
	return engine.UnloadAdapter{Model: item.Model, Adapter: item.Adapter}
}
