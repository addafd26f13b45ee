package route

import "github.com/basilkeel/basilkeel/names"

// Choice is the server that a request goes to.
type Choice struct {
	Server names.BackendServer
	Domain names.FailureDomain
	// Reason names the rule that decided.
	Reason Reason
}

// Reason names the rule that decided a choice.
type Reason string

const (
	// ReasonOnly means that no other server was available.
	ReasonOnly Reason = "only"
	// ReasonLoad means that the server was the least loaded of those compared.
	ReasonLoad Reason = "load"
	// ReasonAffinity means that the server may have the prompt's prefix cached or
	// the adapter loaded.
	ReasonAffinity Reason = "affinity"
	// ReasonProbe means that the request probes an ejected server.
	ReasonProbe Reason = "probe"
)
