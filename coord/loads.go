package coord

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// storeReport replaces the last report of an entry. Once in a while it also counts the
// entries and drops the loads of expired reports. It is called with the coordinator's
// mutex held.
func (term *term) storeReport(instance names.Instance, entryReport entryReport, now time.Time) {
	previous, found := term.reports[instance]
	if found {
		term.addLoads(previous.loads, -1)
		term.addModelLoads(previous.modelLoads, -1)
		entryReport.loadsSentAt = previous.loadsSentAt
	}
	term.addLoads(entryReport.loads, 1)
	term.addModelLoads(entryReport.modelLoads, 1)
	term.reports[instance] = entryReport
	if now.Sub(term.sweptAt) < reportLifetime/4 {
		return
	}
	term.sweptAt = now
	term.rankEntries(now)
	term.expireAdapterUses(now)
	for other, report := range term.reports {
		if now.Sub(report.receivedAt) > reportLifetime && (report.loads != nil || report.modelLoads != nil) {
			term.addLoads(report.loads, -1)
			term.addModelLoads(report.modelLoads, -1)
			report.loads, report.modelLoads = nil, nil
			term.reports[other] = report
		}
	}
}

// addLoads adds loads to the totals, or subtracts them if sign is negative.
func (term *term) addLoads(loads map[names.BackendServer]int, sign int) {
	for server, running := range loads {
		term.totalLoads[server] += sign * running
		if term.totalLoads[server] == 0 {
			delete(term.totalLoads, server)
		}
	}
}

// loadsFor returns the loads of all entries except instance, or nil if they were sent
// to it too recently. The more servers there are, the less often loads are sent. It is
// called with the coordinator's mutex held.
func (term *term) loadsFor(instance names.Instance, now time.Time) map[names.BackendServer]int {
	entryReport := term.reports[instance]
	if now.Sub(entryReport.loadsSentAt) < reportPeriod*time.Duration(len(term.totalLoads)/loadsPerReply) {
		return nil
	}
	entryReport.loadsSentAt = now
	term.reports[instance] = entryReport
	loads := make(map[names.BackendServer]int, len(term.totalLoads))
	for server, running := range term.totalLoads {
		if others := running - entryReport.loads[server]; others > 0 {
			loads[server] = others
		}
	}
	return loads
}
