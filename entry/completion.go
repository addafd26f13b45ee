package entry

import (
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// completion is a request for output of a model, from either form of call.
type completion struct {
	// modelName is the model as the caller wrote it.
	modelName string
	model     names.Model
	adapter   names.Adapter
	prompt    string
	maxTokens call.Tokens
	stream    bool
	kind      call.Kind
	// timeout is how long the caller will wait; zero where it does not say.
	timeout time.Duration
}

// promptTokens is what the prompt counts for.
func (completion *completion) promptTokens() call.Tokens {
	return call.EstimateTokens(completion.prompt)
}

// adapterSeparator stands between model and adapter in a caller's model name.
const adapterSeparator = "+"

// splitModel separates a caller's model name into model and adapter.
func splitModel(label string) (names.Model, names.Adapter) {
	model, adapter, _ := strings.Cut(label, adapterSeparator)
	return names.Model(model), names.Adapter(adapter)
}
