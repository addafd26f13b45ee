package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

// job is one admitted request that is run in one or more attempts.
type job struct {
	request  names.Request
	account  names.ClientAccount
	kind     call.Kind
	deadline time.Time
	query    route.Query
	// fingerprint identifies the request in records of crashes; nil for calls on
	// plain services.
	fingerprint *poison.Fingerprint
	// idempotent allows another attempt after one that may have run.
	idempotent bool
	// setWork sets the work of a request to an agent. The agent is to skip the
	// first offset pieces of output.
	setWork func(message *wire.ServeRequest, offset int64)
}

// sink receives the output of a job, in order and without duplicates.
type sink interface {
	// head receives the status and headers of a plain service's response.
	head(head *wire.Head) error
	// chunk receives the next piece of output.
	chunk(chunk *wire.Chunk) error
}
