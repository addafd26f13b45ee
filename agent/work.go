package agent

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/queue"
)

// Work describes an attempt for its admission.
type Work struct {
	Request  names.Request
	Attempt  uint32
	Account  names.ClientAccount
	Kind     call.Kind
	Model    names.Model
	Adapter  names.Adapter
	Prompt   call.Tokens
	Output   call.Tokens
	Deadline time.Time
	// Bytes is the memory that the attempt uses while it waits.
	Bytes int64
}

// ID returns the identifier of the attempt in the queue.
func (work Work) ID() queue.ID {
	return queue.ID{Request: work.Request, Attempt: work.Attempt}
}
