package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// endedLifetime is how long the end of a declaration is kept, so that older statements
// that arrive later don't revive it.
const endedLifetime = 30 * time.Second

// Register holds the latest statement of each server. It numbers the changes, so that
// another register can be told only those that it lacks. It is not safe for concurrent
// use.
type Register struct {
	records map[names.BackendServer]*record
	number  int64
}

// record is a server's latest statement with the number of the change to it.
type record struct {
	statement Statement
	number    int64
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{records: map[names.BackendServer]*record{}} }

// Observe records the declaration in a response to a request that was sent at a given
// time, which arrived now, and reports whether that changes the server's declaration.
func (register *Register) Observe(server Server, declaration Declaration, sent, now time.Time) bool {
	if declaration == nil || declaration == Declaration(Unreadable{}) {
		return false
	}
	return register.merge(Statement{Server: server, Declaration: declaration, SentAt: sent, At: now})
}

// Merge records statements of other registers and returns those that change a
// declaration.
func (register *Register) Merge(statements []Statement) []Statement {
	changed := make([]Statement, 0, len(statements))
	for _, statement := range statements {
		if register.merge(statement) {
			changed = append(changed, statement)
		}
	}
	return changed
}

// merge records a statement and reports whether it changes the server's declaration.
func (register *Register) merge(statement Statement) bool {
	known, found := register.records[statement.Server.ID]
	_, limited := statement.Declaration.(Limited)
	switch {
	case found && known.statement.Server.Incarnation > statement.Server.Incarnation:
		return false
	case !found || known.statement.Server != statement.Server:
		if !limited {
			return false
		}
	case known.statement.Declaration == statement.Declaration:
		known.statement.refresh(&statement)
		return false
	case !statement.replaces(&known.statement):
		return false
	}
	register.put(statement)
	return true
}

// put replaces a server's statement under a new number.
func (register *Register) put(statement Statement) {
	register.number++
	register.records[statement.Server.ID] = &record{statement: statement, number: register.number}
}

// Rate returns the rate that a server declares, or false if it declares none.
func (register *Register) Rate(server Server) (Limited, bool) {
	limited, found := register.statement(server).Declaration.(Limited)
	return limited, found
}

// statement returns the latest statement of a server, or the zero value.
func (register *Register) statement(server Server) Statement {
	known, found := register.records[server.ID]
	if !found || known.statement.Server != server {
		return Statement{}
	}
	return known.statement
}

// Since returns the statements that changed after a number, in the order of their
// changes, and the number of the last change.
func (register *Register) Since(number int64) ([]Statement, int64) {
	var records []*record
	for _, record := range register.records {
		if record.number > number {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.number, b.number) })
	statements := make([]Statement, 0, len(records))
	for _, record := range records {
		statements = append(statements, record.statement)
	}
	return statements, register.number
}

// Expire drops declarations that ended more than endedLifetime ago, and those of
// servers that are not listed any more. It returns the servers of these declarations.
func (register *Register) Expire(listed func(Server) bool, now time.Time) []Server {
	var expired []Server
	for id, record := range register.records {
		_, limited := record.statement.Declaration.(Limited)
		if now.Sub(record.statement.At) > endedLifetime && (!limited || !listed(record.statement.Server)) {
			delete(register.records, id)
			expired = append(expired, record.statement.Server)
		}
	}
	return expired
}
