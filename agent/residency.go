package agent

import "github.com/basilkeel/basilkeel/names"

// Residency knows what the model engine can serve now. It is safe for concurrent
// use.
type Residency interface {
	// Ready reports whether model can be served, with adapter unless it is empty.
	Ready(model names.Model, adapter names.Adapter) bool
	// Models returns the models that can be served.
	Models() []names.Model
}
