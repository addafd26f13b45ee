package stand

import (
	"strings"

	"github.com/basilkeel/basilkeel/engine"
)

// engineSequence is the state of one generation in the stand-in engine.
type engineSequence struct {
	generation engine.Generation
	arrival    int64
	// promptTokens includes the output tokens that the caller already has.
	promptTokens  int64
	prefillTokens int64
	running       bool
	nextIndex     int
	cacheBytes    int64
	blocks        []uint64
}

// EngineTokens returns the number of tokens that the stand-in engine counts for
// text.
func EngineTokens(text string) int64 { return int64(len(text)+bytesPerToken-1) / bytesPerToken }

// engineText returns the text of the piece at index. It depends only on the
// generation and the index, so every engine produces the same output.
func engineText(generation engine.Generation, index int) string {
	var builder strings.Builder
	word := engineHash(string(generation.Request), string(generation.Model), string(generation.Adapter),
		generation.Prompt, index)
	builder.WriteString(engineWords[word%uint64(len(engineWords))])
	builder.WriteByte(' ')
	return builder.String()
}
