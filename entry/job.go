package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

// job is one admitted request on its way through attempts.
type job struct {
	request  names.Request
	account  names.ClientAccount
	kind     call.Kind
	deadline time.Time
	query    route.Query
	// fingerprint tells the request from others that crash servers; nil for
	// calls on plain services.
	fingerprint *poison.Fingerprint
	// idempotent allows an attempt after one that may have run.
	idempotent bool
	// setWork fills in what the agent is to run, from offset pieces on.
	setWork func(message *wire.ServeRequest, offset int64)
}

// sink takes the output of a job, in order and without doubles.
type sink interface {
	// head takes the status of a plain service's answer.
	head(head *wire.Head) error
	// chunk takes the next piece.
	chunk(chunk *wire.Chunk) error
}
