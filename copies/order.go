package copies

import (
	"context"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Order asks an engine to load or to unload a model or an adapter.
type Order struct {
	Unload bool
	Model  names.Model
	// Adapter is empty for the model itself.
	Adapter names.Adapter
}

// Sending is an order with what guards it.
type Sending struct {
	Order
	// Server is the only one that may take the order.
	Server  names.BackendServer
	Address string
	// Accepted is how many orders the engine has to have accepted before.
	Accepted int64
	// Holder and Term name the coordinator.
	Holder string
	Term   int64
	// Current tells whether the term still holds; it is asked again right before the
	// order is sent.
	Current func() bool
}

// Verdict is an engine's answer to an order.
type Verdict int

const (
	// VerdictUnknown means that there was no answer.
	VerdictUnknown Verdict = iota
	// VerdictUnsent means that the order certainly did not reach the engine.
	VerdictUnsent
	// VerdictTaken means that the engine carries the order out.
	VerdictTaken
	// VerdictHolds means that what was ordered is so already.
	VerdictHolds
	// VerdictConflict means that another order is under way, or that the count of
	// accepted orders differs.
	VerdictConflict
	// VerdictFenced means that the engine has seen a newer coordinator.
	VerdictFenced
	// VerdictInvalid means that the engine cannot carry out the order, or is
	// another server.
	VerdictInvalid
)

// String implements fmt.Stringer.
func (verdict Verdict) String() string {
	texts := []string{"unknown", "unsent", "taken", "holds", "conflict", "fenced", "invalid"}
	if int(verdict) >= len(texts) {
		return "unknown"
	}
	return texts[verdict]
}

// Report is what an engine says of itself.
type Report struct {
	Busy     bool
	Accepted int64
	Models   []names.Model
	Adapters []pool.Adapter
	InMemory []names.Model
	OnDisk   []names.Model
}

// Engine sends calls to model engines.
type Engine interface {
	// Order sends an order. The error tells why it got no answer.
	Order(ctx context.Context, sending Sending) (Verdict, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, address string, server names.BackendServer) (Report, error)
}
