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

// OrderRequest is an order with what guards it.
type OrderRequest struct {
	Order
	// Server is the only one that may take the order.
	Server  names.BackendServer
	Address string
	// Accepted is how many orders the engine has to have accepted before.
	Accepted int64
	// Holder and Term name the coordinator.
	Holder string
	Term   int64
	// TermValid tells whether the term still holds; it is asked again right before the
	// order is sent.
	TermValid func() bool
}

// Outcome is an engine's answer to an order.
type Outcome int

const (
	// OutcomeUnknown means that there was no answer.
	OutcomeUnknown Outcome = iota
	// OutcomeUnsent means that the order certainly did not reach the engine.
	OutcomeUnsent
	// OutcomeAccepted means that the engine carries the order out.
	OutcomeAccepted
	// OutcomeUnchanged means that what was ordered is so already.
	OutcomeUnchanged
	// OutcomeConflict means that another order is under way, or that the count of
	// accepted orders differs.
	OutcomeConflict
	// OutcomeFenced means that the engine has seen a newer coordinator.
	OutcomeFenced
	// OutcomeInvalid means that the engine cannot carry out the order, or is
	// another server.
	OutcomeInvalid
)

// String implements fmt.Stringer.
func (outcome Outcome) String() string {
	texts := []string{"unknown", "unsent", "taken", "holds", "conflict", "fenced", "invalid"}
	if int(outcome) >= len(texts) {
		return "unknown"
	}
	return texts[outcome]
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Busy     bool
	Accepted int64
	Models   []names.Model
	Adapters []pool.Adapter
	InMemory []names.Model
	OnDisk   []names.Model
}

// EngineClient sends calls to model engines.
type EngineClient interface {
	// Order sends an order. The error tells why it got no answer.
	Order(ctx context.Context, orderRequest OrderRequest) (Outcome, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, address string, server names.BackendServer) (EngineReport, error)
}
