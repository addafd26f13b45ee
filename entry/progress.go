package entry

import (
	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/wire"
)

// progress joins the pieces of all attempts of a job: each piece reaches the
// sink once and in order, and only a full count ends the job whole.
type progress struct {
	sink sink
	// next is the index of the piece that the sink lacks.
	next int64
}

// head begins the answer of a plain service, which is never resumed: a repeated
// attempt brings it from the start.
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
		return merry.Errorf("piece %d came where %d was due", chunk.GetIndex(), progress.next)
	}
	if err := progress.sink.chunk(chunk); err != nil {
		return &sinkError{cause: err}
	}
	progress.next++
	return nil
}

func (progress *progress) end(end *wire.End) result {
	if end.GetPieces() != progress.next {
		return brokenResult(merry.Errorf("the end counts %d pieces, %d came", end.GetPieces(), progress.next))
	}
	return completed{end: end}
}
