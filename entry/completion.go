package entry

import (
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// completion is a parsed request for model output, from either the text or the
// chat API.
type completion struct {
	// modelName is the model as the caller wrote it.
	modelName string
	model     names.Model
	adapter   names.Adapter
	prompt    string
	maxTokens call.Tokens
	stream    bool
	kind      call.Kind
	// timeout is how long the caller will wait; zero if it does not say.
	timeout time.Duration
}

// promptTokens returns the estimated number of tokens in the prompt.
func (completion *completion) promptTokens() call.Tokens {
	return call.EstimateTokens(completion.prompt)
}

// adapterSeparator separates model and adapter in a caller's model name.
const adapterSeparator = "+"

// splitModel splits a caller's model name into model and adapter. The adapter
// is empty if the name has no separator.
func splitModel(label string) (names.Model, names.Adapter) {
	model, adapter, _ := strings.Cut(label, adapterSeparator)
	return names.Model(model), names.Adapter(adapter)
}
