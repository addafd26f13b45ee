package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// Event is an input of [Ledger.Step]. It is sealed: the types of this file
// implement it.
type Event interface{ ledgerEvent() }

// Tick reports that time has passed.
type Tick struct{}

// RecordRead is the result of [ReadRecord]. Found is false if there is no record.
type RecordRead struct {
	// RequestedAt is a time before the read was sent.
	RequestedAt time.Time
	Found       bool
	Record      Record
	Revision    store.Revision
}

// RecordReadFailed reports that a [ReadRecord] returned no valid result.
type RecordReadFailed struct{}

// RecordWritten reports that a [WriteRecord] succeeded.
type RecordWritten struct {
	// RequestedAt is a time before the write was sent.
	RequestedAt time.Time
	Record      Record
	Revision    store.Revision
}

// RecordWriteFailed reports that a [WriteRecord] failed or that its outcome is
// unknown. In either case the ledger reads the record back.
type RecordWriteFailed struct{ Record Record }

// OrderAcknowledged reports that the engine accepted an order.
type OrderAcknowledged struct{ Order engine.Order }

// OrderUnanswered reports that an order was sent and its outcome is unknown.
type OrderUnanswered struct{ Order engine.Order }

// OrderUnsent reports that an order was not sent and never will be.
type OrderUnsent struct{ Order engine.Order }

// OrderFenced reports that the engine refused an order because it had seen a
// higher epoch.
type OrderFenced struct {
	Order engine.Order
	// Seen is the highest fence that the engine has seen.
	Seen engine.Fence
}

// ReportReceived is the result of [RequestReport].
type ReportReceived struct {
	// RequestedAt is a time before the report was requested.
	RequestedAt time.Time
	Report      engine.Report
}

// ReportFailed reports that a [RequestReport] returned no report.
type ReportFailed struct{}

// CancelAcknowledged reports that the engine accepted a [CancelGeneration].
type CancelAcknowledged struct {
	// RequestedAt is a time before the cancellation was sent.
	RequestedAt time.Time
	Request     names.Request
}

// CancelUnanswered reports that a [CancelGeneration] failed or that its outcome
// is unknown.
type CancelUnanswered struct{ Request names.Request }

func (Tick) ledgerEvent()               {}
func (RecordRead) ledgerEvent()         {}
func (RecordReadFailed) ledgerEvent()   {}
func (RecordWritten) ledgerEvent()      {}
func (RecordWriteFailed) ledgerEvent()  {}
func (OrderAcknowledged) ledgerEvent()  {}
func (OrderUnanswered) ledgerEvent()    {}
func (OrderUnsent) ledgerEvent()        {}
func (OrderFenced) ledgerEvent()        {}
func (ReportReceived) ledgerEvent()     {}
func (ReportFailed) ledgerEvent()       {}
func (CancelAcknowledged) ledgerEvent() {}
func (CancelUnanswered) ledgerEvent()   {}
