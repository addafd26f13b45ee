package coord

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// rankEntries assigns each entry that counts its place among them, in the order of their
// names. It is called with the coordinator's mutex held.
func (term *term) rankEntries(now time.Time) {
	var instances []names.Instance
	for instance, entryReport := range term.reports {
		if now.Sub(entryReport.receivedAt) < entryLifetime {
			instances = append(instances, instance)
		}
	}
	slices.Sort(instances)
	term.ranks = make(map[names.Instance]int, len(instances))
	for rank, instance := range instances {
		term.ranks[instance] = rank
	}
}
