package entry

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// completionWriter writes one completion to its caller. Exactly one of finish
// and fail is called, once.
type completionWriter interface {
	sink
	// finish ends a complete response.
	finish(end *wire.End) error
	// fail ends an incomplete response so that the caller cannot mistake it for
	// a complete one.
	fail(refusal *call.Refusal)
}
