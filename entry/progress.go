package entry

import (
	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/wire"
)

// progress merges the pieces of all attempts of a job. Each piece reaches the
// sink once and in order, and the job only completes if the number of pieces in
// the end message matches.
type progress struct {
	sink sink
	// next is the index of the next piece that the sink is to receive.
	next int64
}

// head begins the response of a plain service. Such a response is never
// resumed: another attempt sends it from the start.
func (progress *progress) head(head *wire.Head) error {
	progress.next = 0
	if err := progress.sink.head(head); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}

func (progress *progress) chunk(chunk *wire.Chunk) error {
	switch {
	case chunk.GetIndex() < progress.next:
		return nil
	case chunk.GetIndex() > progress.next:
		return merry.Errorf("received piece %d, expected piece %d", chunk.GetIndex(), progress.next)
	}
	if err := progress.sink.chunk(chunk); err != nil {
		return &sinkError{cause: err}
	}
	progress.next++
	return nil
}

func (progress *progress) end(end *wire.End) result {
	if end.GetPieces() != progress.next {
		return brokenResult(merry.Errorf("the end message counts %d pieces, received %d", end.GetPieces(), progress.next))
	}
	return completed{end: end}
}
