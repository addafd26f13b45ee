package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// reportArrived frees what the report proves to be gone.
func (ledger *Ledger) reportArrived(now time.Time, arrived ReportReceived) {
	report := arrived.Report
	ledger.role.reported = report.Role
	ledger.role.unmarked = report.Applied.Epoch != ledger.record.epoch
	resident := make(map[Item]engine.Resident, len(report.Resident))
	for _, each := range report.Resident {
		item := Item{Model: each.Model, Adapter: each.Adapter}
		resident[item] = each
		ledger.noteUnknown(now, item, each.Bytes)
	}
	for item, entry := range ledger.entries {
		each, present := resident[item]
		entry.resident = present
		entry.usable = present && !each.Loading && now.After(entry.unloadsUntil)
		if !present && ledger.proves(report, entry.proof) {
			delete(ledger.entries, item)
		}
	}
	ledger.epochReported(now, arrived)
}

// epochReported takes what the report tells of who has the engine.
func (ledger *Ledger) epochReported(now time.Time, arrived ReportReceived) {
	if ledger.phase != phaseHolding {
		return
	}
	report := arrived.Report
	switch seen := report.Applied.Epoch; {
	case seen > ledger.record.epoch:
		ledger.superseded(seen)
	case seen == ledger.record.epoch:
		ledger.permission.evidenceAt = later(ledger.permission.evidenceAt, arrived.RequestedAt)
		ledger.foreign.reported(now, report, ledger.evidenceWindow())
	}
}

// evidenceWindow bounds the time from a report with the agent's own epoch to
// the arrival of the predecessor's last message at the engine.
func (ledger *Ledger) evidenceWindow() time.Duration {
	if ledger.record.gone {
		return 0
	}
	return ledger.config.ReportLag + ledger.config.EvidenceAge + ledger.config.OrderLifetime
}

// proves tells that report is from after the order with fence was given out.
func (ledger *Ledger) proves(report engine.Report, fence engine.Fence) bool {
	return fence != noFence && fence.Epoch == ledger.record.epoch && report.Applied.Compare(fence) >= 0
}

// noteUnknown reserves memory for a resident item that no order explains.
func (ledger *Ledger) noteUnknown(now time.Time, item Item, bytes int64) {
	known, found := ledger.entries[item]
	if !found {
		known = &entry{loadsUntil: now.Add(ledger.config.OrderLifetime)}
		known.weights = Weights{Item: item, Bytes: bytes}
		ledger.entries[item] = known
	}
	known.weights.Bytes = max(known.weights.Bytes, bytes)
}
