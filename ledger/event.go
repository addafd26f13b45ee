package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// Event is what happened. It is sealed: the types of this file implement it.
type Event interface{ ledgerEvent() }

// Tick tells that time has passed.
type Tick struct{}

// RecordRead answers [ReadRecord]. Without a record, Found is false.
type RecordRead struct {
	// RequestedAt is from before the read was sent.
	RequestedAt time.Time
	Found       bool
	Record      Record
	Revision    store.Revision
}

// RecordReadFailed tells that a [ReadRecord] got no answer.
type RecordReadFailed struct{}

// RecordWritten answers [WriteRecord].
type RecordWritten struct {
	// RequestedAt is from before the write was sent.
	RequestedAt time.Time
	Record      Record
	Revision    store.Revision
}

// RecordWriteFailed tells that a [WriteRecord] failed or that its effect is not
// known; the ledger reads back in every case.
type RecordWriteFailed struct{ Record Record }

// OrderAcknowledged tells that the engine took an order.
type OrderAcknowledged struct{ Order engine.Order }

// OrderUnanswered tells that an order left and got no answer.
type OrderUnanswered struct{ Order engine.Order }

// OrderUnsent tells that an order never left and never will.
type OrderUnsent struct{ Order engine.Order }

// OrderFenced tells that the engine refused an order.
type OrderFenced struct {
	Order engine.Order
	Seen  engine.Fence
}

// ReportReceived answers [RequestReport].
type ReportReceived struct {
	// RequestedAt is from before the report was asked for.
	RequestedAt time.Time
	Report      engine.Report
}

// ReportFailed tells that an [RequestReport] got no answer.
type ReportFailed struct{}

// CancelAcknowledged answers [CancelGeneration].
type CancelAcknowledged struct {
	// RequestedAt is from before the cancellation was sent.
	RequestedAt time.Time
	Request     names.Request
}

// CancelUnanswered tells that a [CancelGeneration] got no answer.
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
