package entry

import (
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/wire"
)

// maxStatus is the largest status of an HTTP response.
const maxStatus = 999

// progress merges the pieces of all attempts of a job. Each piece reaches the
// sink once and in order, and the job only completes if the number of pieces in
// the end message matches.
type progress struct {
	sink sink
	// next is the index of the next piece that the sink is to receive.
	next int64
	// needsHead reports whether the response is one of a plain service, and hasHead
	// whether the current attempt has sent its head.
	needsHead bool
	hasHead   bool
}

// beginAttempt prepares for the replies of another attempt.
func (progress *progress) beginAttempt() { progress.hasHead = false }

// head begins the response of a plain service. Such a response is never
// resumed: another attempt sends it from the start.
func (progress *progress) head(head *wire.Head) error {
	// An interim status is none to respond with, and net/http accepts three digits only.
	if status := head.GetStatus(); status < http.StatusOK || status > maxStatus {
		return merry.Errorf("the status of the answer is %d", status)
	}
	progress.next, progress.hasHead = 0, true
	if err := progress.sink.head(head); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}

func (progress *progress) chunk(chunk *wire.Chunk) error {
	switch {
	case progress.needsHead && !progress.hasHead:
		return merry.New("a piece of the answer came before its head")
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
	if progress.needsHead && !progress.hasHead {
		return brokenResult(merry.New("the answer ended without a head"))
	}
	if end.GetPieces() != progress.next {
		return brokenResult(merry.Errorf("the end message counts %d pieces, received %d", end.GetPieces(), progress.next))
	}
	return completed{end: end}
}
