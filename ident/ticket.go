package ident

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Ticket states what an entry has checked for one attempt of one request. An
// agent relies on nothing else to authorize the attempt.
type Ticket struct {
	Account names.ClientAccount
	Request names.Request
	Kind    call.Kind
	// Server is the only backend server at which the ticket is valid.
	Server names.BackendServer
	// Attempt is the number of the attempt, starting from one.
	Attempt uint32
	// Expires is the end of the ticket's validity. Agents tolerate a clock skew
	// of up to [MaxClockSkew].
	Expires time.Time
	// Deadline is the deadline of the request; zero means none.
	Deadline time.Time
	// Once reports whether the request must reach backend servers at most once.
	Once bool
}
