package entry

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// completionWriter writes one completion to its caller. Exactly one of finish and
// fail is called, once.
type completionWriter interface {
	sink
	// finish ends a whole answer.
	finish(end *wire.End) error
	// fail ends an answer that is not whole, so that it cannot look whole.
	fail(refusal *call.Refusal)
}
