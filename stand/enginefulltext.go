package stand

import (
	"strings"

	"github.com/basilkeel/basilkeel/engine"
)

// EngineFullText returns the whole output of generation, for comparison with what
// a caller received.
func EngineFullText(generation engine.Generation) string {
	var builder strings.Builder
	for index := range int(generation.MaxTokens) {
		builder.WriteString(engineText(generation, index))
	}
	return builder.String()
}
