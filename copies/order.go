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

// OrderRequest is an order to one engine, with the conditions under which the engine
// accepts it.
type OrderRequest struct {
	Order
	// Server is the only server that may accept the order.
	Server  names.BackendServer
	Address string
	// Incarnation is that of the server whose state the order is based on.
	Incarnation int64
	// Accepted is the number of orders that the engine must have accepted before.
	Accepted int64
	// Holder and Term identify the coordinator.
	Holder string
	Term   int64
	// TermValid reports whether the term is still valid and the engine is not evacuated. It
	// is called again right before the order is sent.
	TermValid func() bool
}

// Outcome is the outcome of sending an order.
type Outcome int

const (
	// OutcomeUnknown means that there was no answer.
	OutcomeUnknown Outcome = iota
	// OutcomeUnsent means that the order certainly did not reach the engine.
	OutcomeUnsent
	// OutcomeAccepted means that the engine executes the order.
	OutcomeAccepted
	// OutcomeUnchanged means that the engine is already in the ordered state.
	OutcomeUnchanged
	// OutcomeConflict means that the engine executes another order, or that its count
	// of accepted orders differs.
	OutcomeConflict
	// OutcomeFenced means that the engine has seen a newer coordinator.
	OutcomeFenced
	// OutcomeInvalid means that the engine cannot execute the order, or is another
	// server.
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

// EngineReport is an engine's report of its own state.
type EngineReport struct {
	// Busy reports whether the engine executes an order.
	Busy     bool
	Accepted int64
	Models   []names.Model
	Adapters []pool.Adapter
	InMemory []names.Model
	OnDisk   []names.Model
}

// EngineClient calls model engines.
type EngineClient interface {
	// Order sends an order. The error says why there is no usable answer.
	Order(ctx context.Context, orderRequest OrderRequest) (Outcome, error)
	// Report requests an engine's state.
	Report(ctx context.Context, address string, server names.BackendServer) (EngineReport, error)
}
