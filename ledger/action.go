package ledger

import (
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// Action is something that the ledger asks its caller to do. It is sealed:
// [ReadRecord], [WriteRecord], [SendOrder], [RequestReport],
// [CancelGeneration] and [Terminate] implement it. Every action except
// Terminate results in exactly one event.
type Action interface{ ledgerAction() }

// ReadRecord reads the agent's record from the platform's store.
type ReadRecord struct{}

// WriteRecord replaces the record by compare-and-swap.
type WriteRecord struct {
	Record   Record
	Expected store.Revision
}

// SendOrder sends an order to the engine, provided that [Ledger.MaySend] still
// allows it immediately before.
type SendOrder struct{ Order engine.Order }

// RequestReport requests a report from the engine.
type RequestReport struct{}

// CancelGeneration cancels a generation on the engine.
type CancelGeneration struct{ Request names.Request }

// Terminate ends the agent, because another agent holds the engine with Epoch.
type Terminate struct{ Epoch int64 }

func (ReadRecord) ledgerAction()       {}
func (WriteRecord) ledgerAction()      {}
func (SendOrder) ledgerAction()        {}
func (RequestReport) ledgerAction()    {}
func (CancelGeneration) ledgerAction() {}
func (Terminate) ledgerAction()        {}
