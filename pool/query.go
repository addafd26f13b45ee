package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Query describes a request that needs a server.
type Query struct {
	Service names.Service
	// Model is empty where the service runs no models; Adapter.Name is empty where
	// the request needs none.
	Model   names.Model
	Adapter names.Adapter
	// Domain is where the request was taken.
	Domain names.FailureDomain
	// Tried lists servers that are not to be picked again.
	Tried []names.BackendServer
}

// Choice is the outcome of picking: [Chosen], [NoServer], [NoCopy] or [Full].
type Choice interface{ choice() }

// Chosen names the server.
type Chosen struct {
	Server *Server
	// Load is the part of the server's slots that were taken.
	Load float64
	// AdapterMissing tells that the adapter has to be loaded there first.
	AdapterMissing bool
	// Alternatives counts further servers that could have been picked.
	Alternatives int
}

// NoServer tells that the registry lists no usable server of the service.
type NoServer struct{}

// NoCopy tells that no server holds the model.
type NoCopy struct{}

// Full tells that every server that could run the request has too much work, or
// wants none for a time.
type Full struct {
	// Load is the least part of a server's slots that is taken.
	Load float64
	// RetryAfter is when one of them takes requests again, where they told; else zero.
	RetryAfter time.Duration
}

func (Chosen) choice()   {}
func (NoServer) choice() {}
func (NoCopy) choice()   {}
func (Full) choice()     {}
