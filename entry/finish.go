package entry

import "github.com/basilkeel/basilkeel/wire"

// Finish reasons of the completions API.
const (
	finishStop   = "stop"
	finishLength = "length"
)

func finishReason(completion *completion, end *wire.End) *string {
	reason := finishStop
	if end.GetPieces() >= int64(completion.maxTokens) {
		reason = finishLength
	}
	return &reason
}

func usage(completion *completion, end *wire.End) *usageBody {
	prompt := int64(completion.promptTokens())
	return &usageBody{
		PromptTokens:     prompt,
		CompletionTokens: end.GetPieces(),
		TotalTokens:      prompt + end.GetPieces(),
	}
}

// newCompletionID returns a unique identifier for a completion.
func newCompletionID() string { return "cmpl-" + string(newRequest()) }
