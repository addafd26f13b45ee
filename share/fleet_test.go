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
	// exchangeSteps is the number of steps between two reports of an entry.
	exchangeSteps = 5
	// leaseSteps is the number of steps between the loss of a lease and the next
	// election.
	leaseSteps = 40
)

// fleet simulates entries and successive coordinators in steps of time, and
// records the cost that all entries admit in each step.
type fleet struct {
	now     time.Time
	limits  *policy.Snapshot
	entries []*fleetEntry
	record  share.Record
	// recordedAt is when the record was stored.
	recordedAt time.Time
	revision   int
	terms      []*fleetTerm
	step       int
	used       []float64
	largest    float64
}

type fleetEntry struct {
	name    names.Instance
	limiter *share.Limiter
	down    bool
	// follows is the index of the term that the entry reports to, or -1.
	follows int
}

// fleetTerm is the coordinator of one term, which may continue without its lease.
type fleetTerm struct {
	number    int64
	divider   *share.Divider
	lender    *share.Lender
	exclusive bool
	revision  int
	dead      bool
}

func newFleet() *fleet {
	fleet := &fleet{now: epoch, limits: limits(), record: share.Record{}}
	for index := range fleetEntries {
		fleet.entries = append(fleet.entries, &fleetEntry{
			name: names.Instance(fmt.Sprintf("entry-%d", index)), limiter: share.NewLimiter(), follows: -1,
		})
	}
	return fleet
}

// elect begins a term; all entries that are not in cut report to it.
func (fleet *fleet) elect(cut map[int]bool) {
	for _, term := range fleet.terms {
		term.exclusive = false
	}
	divider := share.NewDivider(share.DividerConfig{Term: int64(len(fleet.terms) + 1), Now: fleet.now, Record: fleet.record.Aged(fleet.now.Sub(fleet.recordedAt))})
	fleet.terms = append(fleet.terms, &fleetTerm{
		number: int64(len(fleet.terms) + 1), divider: divider, lender: share.NewLender(divider), exclusive: true, revision: fleet.revision,
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
	state := entry.limiter.State(fleet.now)
	assignment := term.divider.Report(entry.name, state, fleet.now)
	term.lender.SetExclusive(term.exclusive)
	assignment.Lent = term.lender.LendAhead(entry.name, state, fleet.limits, fleet.now)
	entry.limiter.Apply(assignment, fleet.limits, fleet.now)
}

// divide adjusts the shares by the coordinator that has the lease.
func (fleet *fleet) divide() {
	for _, term := range fleet.terms {
		if !term.exclusive || term.dead || term.revision != fleet.revision {
			continue
		}
		record, raised := term.divider.Propose([]names.ClientAccount{notes}, fleet.now)
		if !raised {
			continue
		}
		fleet.record, fleet.recordedAt, fleet.revision = record, fleet.now, fleet.revision+1
		term.revision = fleet.revision
		term.divider.Commit(record)
	}
}

func (fleet *fleet) admit(entry *fleetEntry, cost float64) {
	if entry.down {
		return
	}
	_, taken := entry.limiter.Take(account(fleet.limits), cost, fleet.now)
	if !taken && entry.limiter.CanBorrow(fleet.now) {
		if entry.follows >= 0 && !fleet.terms[entry.follows].dead {
			term := fleet.terms[entry.follows]
			term.lender.SetExclusive(term.exclusive)
			_, taken = term.lender.Lend(account(fleet.limits), cost, fleet.now)
		} else {
			taken = entry.limiter.Overdraw(account(fleet.limits), cost, fleet.now)
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

// excess returns by how much the admitted cost exceeds rate and burst in the worst
// window of span.
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

// TestFleetNeverExceedsLimits guards against entries that together admit more than
// an account's limits, while entries and coordinators are cut off, end and restart
// under demand far above the limits. Operators tolerate a tenth of rate and burst
// over eight seconds, and some requests.
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
			electAt = fleet.injectFault(t, electAt)
		}
		// A tenth of rate and burst, and four of the largest request.
		allowed := 0.1*(8*1000+1000) + 4*fleet.largest
		if excess := fleet.excess(8 * time.Second); excess > allowed {
			t.Fatalf("%.0f tokens beyond the limits in 8 s, %.0f are tolerated", excess, allowed)
		}
	})
}

// injectFault injects a random fault in some steps, and returns the step of the
// next election, or -1.
func (fleet *fleet) injectFault(t *rapid.T, electAt int) int {
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
		// The coordinator loses its lease and still serves the entries that report to it.
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
		entry.limiter = share.NewLimiter()
		entry.limiter.Restore(fleet.record[entry.name], fleet.limits, fleet.now)
		entry.follows = len(fleet.terms) - 1
	case 3:
		entry := fleet.entries[rapid.IntRange(0, fleetEntries-1).Draw(t, "stopped")]
		entry.down = !entry.down
	case 4:
		fleet.entries[rapid.IntRange(0, fleetEntries-1).Draw(t, "cutOff")].follows = -1
	}
	return electAt
}
