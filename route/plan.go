package route

import "github.com/basilkeel/basilkeel/names"

// Plan is the placement that a router follows.
type Plan interface {
	// Version increases with each change of the plan. The router reads the
	// replicas of a target again when it has changed.
	Version() int64
	// Replicas returns the servers of a target. The router does not modify the
	// slice.
	Replicas(target Target) []Replica
}

// Target is the model or the plain service that a request is for.
type Target struct {
	Model   names.Model
	Service names.Service
}

// Replica is one server of a target.
type Replica struct {
	Server names.BackendServer
	Domain names.FailureDomain
	// Leaving is true if the server takes no new requests.
	Leaving bool
}
