package permit

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Server is one incarnation of a backend server. What it declares ends with it.
type Server struct {
	ID          names.BackendServer
	Incarnation int64
}

// Declaration is what a response says about the rate of requests that its server
// accepts: [Limited], [Unlimited] or [Unreadable].
type Declaration interface{ declaration() }

// Limited declares that the server accepts PerSecond requests a second from all
// entries together. Zero is a valid rate.
type Limited struct {
	PerSecond float64
}

// Unlimited declares no rate, which ends an earlier declaration.
type Unlimited struct{}

// Unreadable declares a rate that is not a number, which leaves an earlier
// declaration in force.
type Unreadable struct{}

func (Limited) declaration()    {}
func (Unlimited) declaration()  {}
func (Unreadable) declaration() {}

// Statement is a server's declaration, [Limited] or [Unlimited]. The server last made it
// between SentAt, when a request was sent, and At, when the response arrived.
type Statement struct {
	Server      Server
	Declaration Declaration
	SentAt      time.Time
	At          time.Time
}

// replaces reports whether the statement replaces an earlier known one about the same
// server. Where it is not certain which is the later one, the lower rate counts.
func (statement *Statement) replaces(known *Statement) bool {
	if isLower(statement.Declaration, known.Declaration) {
		return statement.At.After(known.SentAt)
	}
	return statement.SentAt.After(known.At)
}

// refresh extends the statement by another one with the same declaration.
func (statement *Statement) refresh(other *Statement) {
	if other.SentAt.After(statement.SentAt) {
		statement.SentAt = other.SentAt
	}
	if other.At.After(statement.At) {
		statement.At = other.At
	}
}

// isLower reports whether a declaration allows fewer requests than another one.
func isLower(declaration, other Declaration) bool {
	limited, isLimited := declaration.(Limited)
	otherLimited, otherIsLimited := other.(Limited)
	return isLimited && (!otherIsLimited || limited.PerSecond < otherLimited.PerSecond)
}
