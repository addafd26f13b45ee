package share_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/share"
)

const (
	fleetEntries = 4
	fleetStep    = 50 * time.Millisecond
	// exchangeSteps is how many steps lie between two reports of an entry.
	exchangeSteps = 5
	// leaseSteps is how long after the loss of its lease nobody else is elected.
	leaseSteps = 40
)

// fleet plays entries and successive coordinators in steps of time. Admissions
// are the oracle: what all entries let through together.
type fleet struct {
	now      time.Time
	limits   *policy.Snapshot
	entries  []*fleetEntry
	record   share.Record
	revision int
	terms    []*fleetTerm
	step     int
	used     []float64
	largest  float64
}

type fleetEntry struct {
	name   names.Instance
	holder *share.Limiter
	down   bool
	// follows is the index of the term that the entry reports to, or -1.
	follows int
}

// fleetTerm is a coordinator of one term, which may go on without its lease.
type fleetTerm struct {
	number    int64
	divider   *share.Divider
	bank      *share.Lender
	exclusive bool
	revision  int
	dead      bool
}

func newFleet() *fleet {
	fleet := &fleet{now: epoch, limits: limits(), record: share.Record{}}
	for index := range fleetEntries {
		fleet.entries = append(fleet.entries, &fleetEntry{
			name: names.Instance(fmt.Sprintf("entry-%d", index)), holder: share.NewLimiter(), follows: -1,
		})
	}
	return fleet
}

// elect begins a term; all entries that are not cut off follow it.
func (fleet *fleet) elect(cut map[int]bool) {
	for _, term := range fleet.terms {
		term.exclusive = false
	}
	divider := share.NewDivider(share.DividerConfig{Term: int64(len(fleet.terms) + 1), Now: fleet.now, Record: fleet.record})
	fleet.terms = append(fleet.terms, &fleetTerm{
		number: int64(len(fleet.terms) + 1), divider: divider, bank: share.NewLender(divider), exclusive: true, revision: fleet.revision,
	})
	for index, entry := range fleet.entries {
		if !cut[index] {
			entry.follows = len(fleet.terms) - 1
		}
	}
}

func (fleet *fleet) exchange(entry *fleetEntry) {
	if entry.down || entry.follows < 0 || fleet.terms[entry.follows].dead {
		return
	}
	term := fleet.terms[entry.follows]
	state := entry.holder.State(fleet.now)
	assignment := term.divider.Report(entry.name, state, fleet.now)
	term.bank.SetExclusive(term.exclusive)
	assignment.Lent = term.bank.LendAhead(entry.name, state, fleet.limits, fleet.now)
	entry.holder.Apply(assignment, fleet.limits, fleet.now)
}

// divide moves shares of the term that holds the lease.
func (fleet *fleet) divide() {
	for _, term := range fleet.terms {
		if !term.exclusive || term.dead || term.revision != fleet.revision {
			continue
		}
		record, raised := term.divider.Propose([]names.ClientAccount{notes}, fleet.now)
		if !raised {
			continue
		}
		fleet.record, fleet.revision = record, fleet.revision+1
		term.revision = fleet.revision
		term.divider.Commit(record)
	}
}

func (fleet *fleet) admit(entry *fleetEntry, cost float64) {
	if entry.down {
		return
	}
	_, taken := entry.holder.Take(account(fleet.limits), cost, fleet.now)
	if !taken && entry.holder.CanBorrow(fleet.now) {
		if entry.follows >= 0 && !fleet.terms[entry.follows].dead {
			term := fleet.terms[entry.follows]
			term.bank.SetExclusive(term.exclusive)
			_, taken = term.bank.Lend(account(fleet.limits), cost, fleet.now)
		} else {
			taken = entry.holder.Overdraw(account(fleet.limits), cost, fleet.now)
		}
	}
	if taken {
		fleet.used[fleet.step] += cost
		fleet.largest = max(fleet.largest, cost)
	}
}

func (fleet *fleet) advance() {
	fleet.now = fleet.now.Add(fleetStep)
	fleet.step++
	fleet.used = append(fleet.used, 0)
}

// excess is by how much the worst window of a span goes beyond rate and burst.
func (fleet *fleet) excess(span time.Duration) float64 {
	steps := int(span / fleetStep)
	worst := 0.0
	for first := range fleet.used {
		sum := 0.0
		for _, used := range fleet.used[first:min(first+steps, len(fleet.used))] {
			sum += used
		}
		worst = max(worst, sum-(1000*span.Seconds()+1000))
	}
	return worst
}

// TestFleetNeverExceedsLimits plays cuts, deaths and restarts of entries and
// coordinators under demand far beyond the limit. The bound is what operators
// tolerate: a tenth of rate and burst over eight seconds, and some requests.
func TestFleetNeverExceedsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet()
		fleet.advance()
		fleet.used = []float64{0, 0}
		fleet.elect(nil)
		electAt := -1
		for range 600 {
			fleet.advance()
			for index, entry := range fleet.entries {
				if (fleet.step+index)%exchangeSteps == 0 {
					fleet.exchange(entry)
				}
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					fleet.admit(entry, float64(rapid.IntRange(10, 300).Draw(t, "cost")))
				}
			}
			if fleet.step%10 == 0 {
				fleet.divide()
			}
			electAt = fleet.trouble(t, electAt)
		}
		// Two debts of the largest request, and the tenth.
		allowed := 0.1*(8*1000+1000) + 4*fleet.largest
		if excess := fleet.excess(8 * time.Second); excess > allowed {
			t.Fatalf("%.0f tokens beyond the limits in 8 s, %.0f are tolerated", excess, allowed)
		}
	})
}

// trouble injects a fault now and then and returns when the next election is due.
func (fleet *fleet) trouble(t *rapid.T, electAt int) int {
	if electAt >= 0 && fleet.step >= electAt {
		cut := map[int]bool{}
		if rapid.Bool().Draw(t, "oldLeaderStaysCut") {
			cut[rapid.IntRange(0, fleetEntries-1).Draw(t, "cut")] = true
		}
		fleet.elect(cut)
		return -1
	}
	switch rapid.IntRange(0, 119).Draw(t, "fault") {
	case 0:
		// The coordinator loses its lease and goes on with those that follow it.
		if electAt < 0 {
			fleet.terms[len(fleet.terms)-1].exclusive = false
			return fleet.step + leaseSteps
		}
	case 1:
		if electAt < 0 {
			fleet.terms[len(fleet.terms)-1].dead = true
			fleet.terms[len(fleet.terms)-1].exclusive = false
			return fleet.step + leaseSteps
		}
	case 2:
		entry := fleet.entries[rapid.IntRange(0, fleetEntries-1).Draw(t, "restarted")]
		entry.holder = share.NewLimiter()
		entry.holder.Restore(fleet.record[entry.name], fleet.limits, fleet.now)
		entry.follows = len(fleet.terms) - 1
	case 3:
		entry := fleet.entries[rapid.IntRange(0, fleetEntries-1).Draw(t, "stopped")]
		entry.down = !entry.down
	case 4:
		fleet.entries[rapid.IntRange(0, fleetEntries-1).Draw(t, "cutOff")].follows = -1
	}
	return electAt
}
