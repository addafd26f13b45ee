package route

import (
	"slices"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Query describes a request that needs a server.
type Query struct {
	Target  Target
	Adapter names.Adapter
	// Prefix is a hash of the start of the prompt; zero means none.
	Prefix uint64
	Kind   call.Kind
	// Idempotent is true if the request may run on more than one server.
	Idempotent bool
	// Allowed restricts the servers that may be picked; nil means any.
	Allowed []names.BackendServer
	// Tried lists the servers of earlier attempts, which are not picked again.
	Tried []names.BackendServer
}

func (query *Query) tried(server names.BackendServer) bool {
	return slices.Contains(query.Tried, server)
}

func (query *Query) allows(server names.BackendServer) bool {
	return query.Allowed == nil || slices.Contains(query.Allowed, server)
}

// affinityKey returns a hash of the prefix and adapter of the request, for which
// the same servers are preferred; zero means that it has neither.
func (query *Query) affinityKey() uint64 {
	if query.Prefix != 0 {
		return mix(query.Prefix, hashString(string(query.Adapter)))
	}
	if query.Adapter != "" {
		return hashString(string(query.Adapter))
	}
	return 0
}
