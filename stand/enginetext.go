package stand

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken     = 4
	prefixBlockBytes  = 64
	prefixBlockTokens = prefixBlockBytes / bytesPerToken
)

var engineWords = []string{
	"rack", "tide", "label", "timber", "row", "shelf", "dry", "east", "post", "lane", "salt", "beam", "north", "clip",
	"frame", "wind", "locker", "line", "panel", "knot", "archive", "slot", "shore", "brace",
}

func engineHash(request, model, adapter, prompt string, index int) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request, model, adapter, prompt, strconv.Itoa(index)} {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// prefixBlocks returns one hash for each complete block of prompt. Each hash
// covers the model, the adapter and the prompt up to the end of the block.
func prefixBlocks(model, adapter, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00" + adapter + "\x00")
	blocks := make([]uint64, 0, len(prompt)/prefixBlockBytes)
	for ; len(prompt) >= prefixBlockBytes; prompt = prompt[prefixBlockBytes:] {
		_, _ = digest.WriteString(prompt[:prefixBlockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}
