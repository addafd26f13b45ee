package entry

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// countingSink counts the pieces that it forwards to another sink.
type countingSink struct {
	sink   sink
	pieces call.Tokens
	// onFirst is called before a head and before the first piece is forwarded.
	onFirst func()
}

func (countingSink *countingSink) head(head *wire.Head) error {
	countingSink.onFirst()
	return countingSink.sink.head(head)
}

func (countingSink *countingSink) chunk(chunk *wire.Chunk) error {
	if countingSink.pieces == 0 {
		countingSink.onFirst()
	}
	countingSink.pieces++
	return countingSink.sink.chunk(chunk)
}
