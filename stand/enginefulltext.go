package stand

import (
	"strings"

	"github.com/basilkeel/basilkeel/engine"
)

// EngineFullText returns the complete output of generation from its first piece
// on, for comparison with the output that a caller received.
func EngineFullText(generation engine.Generation) string {
	var builder strings.Builder
	for index := range int(generation.MaxTokens) {
		builder.WriteString(engineText(generation, index))
	}
	return builder.String()
}
