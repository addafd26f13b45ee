package entry

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// result is the result of one attempt.
//
//sumtype:decl
type result interface{ result() }

// completed means that the sink has received every piece.
type completed struct{ end *wire.End }

// failed means that the attempt gave no complete response.
type failed struct {
	refusal *call.Refusal
	// load is the load that the agent reported; nil if it reported none.
	load *wire.Load
	// cause is the fault that ended the attempt; nil if the agent refused it or
	// the caller ended it.
	cause error
}

func (completed) result() {}
func (failed) result()    {}
