package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// reportReceived updates the reservations from a report and frees those that the
// report proves not to be resident.
func (ledger *Ledger) reportReceived(now time.Time, received ReportReceived) {
	report := received.Report
	ledger.role.reported = report.Role
	ledger.role.epochUnreported = report.Applied.Epoch != ledger.record.epoch
	resident := make(map[Item]engine.Resident, len(report.Resident))
	for _, engineItem := range report.Resident {
		item := Item{Model: engineItem.Model, Adapter: engineItem.Adapter}
		resident[item] = engineItem
		ledger.reserveResident(now, item, engineItem.Bytes)
	}
	for item, reservation := range ledger.reservations {
		engineItem, present := resident[item]
		reservation.resident = present
		reservation.usable = present && !engineItem.Loading && now.After(reservation.latestUnloadArrival)
		if !present && ledger.reportFollows(report, reservation.unloadFence) {
			delete(ledger.reservations, item)
		}
	}
	ledger.checkEpoch(now, received)
}

// checkEpoch compares the epoch of the last applied order in a report with the
// agent's own.
func (ledger *Ledger) checkEpoch(now time.Time, received ReportReceived) {
	if ledger.phase != phaseHolding {
		return
	}
	report := received.Report
	switch seen := report.Applied.Epoch; {
	case seen > ledger.record.epoch:
		ledger.reacquire(seen)
	case seen == ledger.record.epoch:
		ledger.permission.epochReportedAt = later(ledger.permission.epochReportedAt, received.RequestedAt)
		ledger.predecessor.epochReported(now, report, ledger.reportWindow())
	}
}

// reportWindow bounds the time from a report with the agent's own epoch to the
// arrival of the last message that the predecessor sends because of an earlier
// report.
func (ledger *Ledger) reportWindow() time.Duration {
	if ledger.record.predecessorEnded {
		return 0
	}
	return ledger.config.ReportLag + ledger.config.ReportValidity + ledger.config.OrderLifetime
}

// reportFollows reports whether report includes the agent's order with fence.
func (ledger *Ledger) reportFollows(report engine.Report, fence engine.Fence) bool {
	return fence != noFence && fence.Epoch == ledger.record.epoch && report.Applied.Compare(fence) >= 0
}

// reserveResident reserves the memory of an item that the engine reports as
// resident. An item without a reservation comes from a load that the ledger does
// not know of, and duplicates of that load can still arrive.
func (ledger *Ledger) reserveResident(now time.Time, item Item, bytes int64) {
	known, found := ledger.reservations[item]
	if !found {
		known = &reservation{latestLoadArrival: now.Add(ledger.config.OrderLifetime)}
		known.weights = Weights{Item: item, Bytes: bytes}
		ledger.reservations[item] = known
	}
	known.weights.Bytes = max(known.weights.Bytes, bytes)
}
