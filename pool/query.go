package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Query describes a request that needs a server.
type Query struct {
	Service names.Service
	// Model is empty if the service runs no models; Adapter is empty if the request
	// needs none.
	Model   names.Model
	Adapter names.Adapter
	// Domain is the failure domain of the instance that sends the request.
	Domain names.FailureDomain
	// Tried lists servers that must not be picked again.
	Tried []names.BackendServer
	// Confined reports whether only servers in Domains may be picked.
	Confined bool
	Domains  []names.FailureDomain
	// Reported reports whether the loads that servers state in their responses count.
	Reported bool
}

// Permits reports whether the request may be sent to the failure domain of a server.
func (query *Query) Permits(server *Server) bool {
	return !query.Confined || slices.Contains(query.Domains, server.Domain)
}

// Choice is the result of [Pool.Pick]: [Chosen], [NoServer], [NoCopy] or [Full].
type Choice interface{ choice() }

// Chosen is the server that was picked.
type Chosen struct {
	Server *Server
	// Load is the server's number of requests in flight relative to its slots.
	Load float64
	// AdapterMissing reports whether the server has to load the adapter first.
	AdapterMissing bool
	// Alternatives counts the other servers that could have been picked.
	Alternatives int
	// Yields reports whether the request leaves the last permits of a server that declares
	// a request rate to requests that can go nowhere else.
	Yields bool
}

// NoServer reports that no server of the service accepts requests.
type NoServer struct{}

// NoCopy reports that no server holds the model, other than those already tried. If
// the query has no model, it reports that all servers have been tried.
type NoCopy struct{}

// Full reports that the servers that could run the request are too loaded, have asked
// for a pause, or have no permit left for the request rate that they declare.
type Full struct {
	// Load is the load of the best candidate, or zero if none may be sent a request.
	Load float64
	// RetryAfter is the time until one may be sent a request again, or zero if all are
	// too loaded.
	RetryAfter time.Duration
	// RateLimited reports whether some could run the request but for the request rate
	// that they declare.
	RateLimited bool
}

func (Chosen) choice()   {}
func (NoServer) choice() {}
func (NoCopy) choice()   {}
func (Full) choice()     {}
