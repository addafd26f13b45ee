package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// permission is an agent's right to send to its engine. It expires unless it is
// renewed, so that an agent that was paused or disconnected stops by itself and
// a successor knows by when.
type permission struct {
	// recordConfirmedAt is a time before the last read or write was sent that
	// showed the record as the agent's own.
	recordConfirmedAt time.Time
	// epochReportedAt is a time before the last report was requested in which
	// the agent's own epoch was the highest of the applied orders.
	epochReportedAt time.Time
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// permitted reports whether the agent may send to its engine at now.
func (ledger *Ledger) permitted(now time.Time) bool {
	if ledger.phase != phaseHolding {
		return false
	}
	return now.Sub(ledger.permission.recordConfirmedAt) <= ledger.config.RecordValidity ||
		now.Sub(ledger.permission.epochReportedAt) <= ledger.config.ReportValidity
}

// expiresSoon reports whether both grounds of the permission are past half their
// validity, so that the record should be read again.
func (ledger *Ledger) expiresSoon(now time.Time) bool {
	return now.Sub(ledger.permission.recordConfirmedAt) > ledger.config.RecordValidity/2 &&
		now.Sub(ledger.permission.epochReportedAt) > ledger.config.ReportValidity/2
}

// MaySend reports whether order may be sent at now. Call it immediately before
// the order is sent, after any wait, with the current time.
func (ledger *Ledger) MaySend(now time.Time, order engine.Order) bool {
	return order.Fence.Epoch == ledger.record.epoch && ledger.permitted(now)
}

// MayGenerate reports whether a generation with a reserved KV cache may be sent
// at now. Call it immediately before the generation is sent, as for orders.
func (ledger *Ledger) MayGenerate(now time.Time) bool { return ledger.permitted(now) }
