package ledger

import (
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// Action is what the ledger wants done. It is sealed: [ReadRecord],
// [WriteRecord], [SendOrder], [RequestReport], [CancelGeneration] and [Terminate]
// implement it. Each but Lose is answered by exactly one event.
type Action interface{ ledgerAction() }

// ReadRecord asks for the record in the platform's service.
type ReadRecord struct{}

// WriteRecord asks for a compare-and-swap of the record.
type WriteRecord struct {
	Record   Record
	Expected store.Revision
}

// SendOrder asks for an order to be sent, if [Ledger.MaySend] still allows it
// right before.
type SendOrder struct{ Order engine.Order }

// RequestReport asks the engine for a report.
type RequestReport struct{}

// CancelGeneration asks the engine to give up a generation.
type CancelGeneration struct{ Request names.Request }

// Terminate tells that another agent has the engine; this one must end.
type Terminate struct{ Epoch int64 }

func (ReadRecord) ledgerAction()       {}
func (WriteRecord) ledgerAction()      {}
func (SendOrder) ledgerAction()        {}
func (RequestReport) ledgerAction()    {}
func (CancelGeneration) ledgerAction() {}
func (Terminate) ledgerAction()        {}
