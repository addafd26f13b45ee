package coord

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// replace takes in an entry's report in place of its last one. It is called with
// the desk's mutex held.
func (term *term) replace(instance names.Instance, entry received, now time.Time) {
	before, found := term.reports[instance]
	if found {
		term.count(before.loads, -1)
		entry.told = before.told
	}
	term.count(entry.loads, 1)
	term.reports[instance] = entry
	if now.Sub(term.swept) < reportLifetime/4 {
		return
	}
	term.swept, term.known = now, 0
	for other, report := range term.reports {
		if now.Sub(report.at) < memberLifetime {
			term.known++
		}
		if now.Sub(report.at) > reportLifetime && report.loads != nil {
			term.count(report.loads, -1)
			report.loads = nil
			term.reports[other] = report
		}
	}
}

func (term *term) count(loads map[names.BackendServer]int, sign int) {
	for server, running := range loads {
		term.totals[server] += sign * running
		if term.totals[server] == 0 {
			delete(term.totals, server)
		}
	}
}

// loadsFor returns the loads of all entries but one, or nil where it was told them
// just now. It is called with the desk's mutex held.
func (term *term) loadsFor(instance names.Instance, now time.Time) map[names.BackendServer]int {
	entry := term.reports[instance]
	if now.Sub(entry.told) < exchangePeriod*time.Duration(len(term.totals)/loadsPerExchange) {
		return nil
	}
	entry.told = now
	term.reports[instance] = entry
	loads := make(map[names.BackendServer]int, len(term.totals))
	for server, running := range term.totals {
		if others := running - entry.loads[server]; others > 0 {
			loads[server] = others
		}
	}
	return loads
}
