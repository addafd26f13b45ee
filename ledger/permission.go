package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// permission is what allows an agent to send. It ends by age, so that an agent
// that was paused or cut off stops by itself, and a successor knows when.
type permission struct {
	// recordConfirmedAt is from before the last read or write that showed the record
	// as the agent's own.
	recordConfirmedAt time.Time
	// epochReportedAt is from before the last report was asked for in which the
	// agent's own epoch was the highest that the engine has carried out.
	epochReportedAt time.Time
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// permitted tells whether the agent may send to its engine at now.
func (ledger *Ledger) permitted(now time.Time) bool {
	if ledger.phase != phaseHolding {
		return false
	}
	return now.Sub(ledger.permission.recordConfirmedAt) <= ledger.config.RecordValidity ||
		now.Sub(ledger.permission.epochReportedAt) <= ledger.config.ReportValidity
}

// expiresSoon tells that the permission ends soon unless it is confirmed.
func (ledger *Ledger) expiresSoon(now time.Time) bool {
	return now.Sub(ledger.permission.recordConfirmedAt) > ledger.config.RecordValidity/2 &&
		now.Sub(ledger.permission.epochReportedAt) > ledger.config.ReportValidity/2
}

// MaySend tells whether order may leave at now. Ask right before the order is
// sent, after every wait, with the time of that moment.
func (ledger *Ledger) MaySend(now time.Time, order engine.Order) bool {
	return order.Fence.Epoch == ledger.record.epoch && ledger.permitted(now)
}

// MayGenerate tells whether a generation with reserved cache may be sent at
// now. Ask right before it is sent, as for orders.
func (ledger *Ledger) MayGenerate(now time.Time) bool { return ledger.permitted(now) }
