package entry

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// result is how one attempt ended.
//
//sumtype:decl
type result interface{ result() }

// completed means that every piece has reached the sink.
type completed struct{ end *wire.End }

// failed means that the attempt gave no whole answer.
type failed struct {
	refusal *call.Refusal
	// load is what the agent told of itself; nil where it told nothing.
	load *wire.Load
	// cause is what broke; nil where the agent or caller decided.
	cause error
}

func (completed) result() {}
func (failed) result()    {}
