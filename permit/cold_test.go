package permit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/share"
)

const (
	coldStep = 5 * time.Millisecond
	// noticeSpread is the time between the first and the last entry that learns of a cold
	// time.
	noticeSpread = 200 * time.Millisecond
)

// coldFleet simulates entries that send to one cold server, in steps of time.
type coldFleet struct {
	now     time.Time
	random  *rand.Rand
	cold    permit.Cold
	entries []*coldEntry
	terms   []*fleetTerm
	record  share.Record
	// arrivals are the times at which requests reach the server.
	arrivals []time.Time
}

type coldEntry struct {
	name     names.Instance
	gate     *permit.Gate
	follows  int
	learnsAt time.Time
	// weight is how likely the entry has a request in a step.
	weight float64
}

func newColdFleet(count int, perSecond float64, seed uint64) *coldFleet {
	fleet := &coldFleet{now: epoch, random: rand.New(rand.NewPCG(seed, 1)), record: share.Record{}}
	fleet.cold = permit.Cold{PerSecond: perSecond, Until: epoch.Add(time.Hour)}
	for index := range count {
		fleet.entries = append(fleet.entries, &coldEntry{name: names.Instance(fmt.Sprintf("entry-%03d", index)), gate: permit.NewGate(), follows: -1, weight: 0.5})
	}
	return fleet
}

// elect begins a term that the given part of the entries follows.
func (fleet *coldFleet) elect(part float64) {
	number := int64(len(fleet.terms) + 1)
	term := &fleetTerm{
		number: number, divider: share.NewDivider(share.DividerConfig{Term: number, Now: fleet.now, Record: fleet.record}),
		issuer: permit.NewIssuer(), reported: map[names.Instance]bool{},
	}
	term.issuer.Begin(fleet.now)
	fleet.terms = append(fleet.terms, term)
	for _, entry := range fleet.entries {
		if fleet.random.Float64() < part {
			entry.follows = len(fleet.terms) - 1
		}
	}
}

// begin makes the server cold; entries learn of it within noticeSpread, and send freely
// until then if used is set.
func (fleet *coldFleet) begin(used bool) {
	for _, entry := range fleet.entries {
		entry.learnsAt = fleet.now.Add(time.Duration(fleet.random.Int64N(int64(noticeSpread))))
		if !used {
			entry.learnsAt = fleet.now
		}
		if !used {
			entry.gate.SetCold(engine, fleet.cold, false, fleet.now)
		}
	}
}

func (fleet *coldFleet) play(span time.Duration) {
	for end := fleet.now.Add(span); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(coldStep)
		step := int(fleet.now.Sub(epoch) / coldStep)
		for index, entry := range fleet.entries {
			if !entry.learnsAt.IsZero() && !fleet.now.Before(entry.learnsAt) {
				entry.gate.SetCold(engine, fleet.cold, true, fleet.now)
			}
			if (step+index)%50 == 0 {
				fleet.report(entry)
			}
			if fleet.random.Float64() < entry.weight {
				fleet.request(entry)
			}
		}
	}
}

func (fleet *coldFleet) report(entry *coldEntry) {
	if entry.follows < 0 || fleet.terms[entry.follows].dead {
		return
	}
	term := fleet.terms[entry.follows]
	term.divider.Report(entry.name, share.State{}, fleet.now)
	term.reported[entry.name], fleet.record[entry.name] = true, share.Holder{}
	entry.gate.RecordAnswer(permit.Place{Rank: term.rank(entry.name), Entries: len(fleet.entries)}, fleet.now)
}

// request has an entry send a request if it may. It uses a permit at the end of its
// lifetime in one of ten cases, and one of ten is delayed by the network.
func (fleet *coldFleet) request(entry *coldEntry) {
	if entry.gate.Restrictions(fleet.now)[engine] == permit.RestrictionClosed {
		return
	}
	switch admission := entry.gate.Admit(engine, fleet.now).(type) {
	case permit.Closed:
		return
	case permit.NeedsPermit:
		if entry.follows < 0 || fleet.terms[entry.follows].dead {
			entry.gate.Close(engine, 250*time.Millisecond, fleet.now)
			return
		}
		term := fleet.terms[entry.follows]
		wait, issued := term.issuer.Issue(permit.Application{Statement: admission.Statement, Cold: admission.Cold}, term.divider.ReportingPart(fleet.now), fleet.now)
		if !issued {
			entry.gate.Close(engine, wait, fleet.now)
			return
		}
	}
	delay := time.Millisecond + time.Duration(fleet.random.Int64N(int64(5*time.Millisecond)))
	if fleet.random.IntN(10) == 0 {
		delay += permit.ColdLifetime
	}
	if fleet.random.IntN(10) == 0 {
		delay += 90 * time.Millisecond
	}
	fleet.arrivals = append(fleet.arrivals, fleet.now.Add(delay))
}

// most returns the largest number of arrivals in a second from a time on, and the number of
// arrivals from then on.
func (fleet *coldFleet) most(from time.Time) (most, total int) {
	slices.SortFunc(fleet.arrivals, time.Time.Compare)
	first := 0
	for index, arrival := range fleet.arrivals {
		if arrival.Before(from) {
			first = index + 1
			continue
		}
		total++
		for fleet.arrivals[first].Add(time.Second).Compare(arrival) <= 0 {
			first++
		}
		most = max(most, index-first+1)
	}
	return most, total
}

// TestFleetKeepsColdRate guards against entries that together send a cold server more
// requests in any second than it accepts, and against a rate that lies idle.
func TestFleetKeepsColdRate(t *testing.T) {
	sizes := []struct {
		entries   int
		perSecond float64
	}{{22, 19}, {400, 3}, {4, 1}, {68, 30}}
	cases := []struct {
		name string
		play func(fleet *coldFleet)
		// used is the least part of the rate that is used.
		used float64
	}{
		{name: "a server starts", used: 0.7, play: func(fleet *coldFleet) {
			fleet.elect(1)
			fleet.play(2 * time.Second)
			fleet.arrivals = nil
			fleet.begin(false)
			fleet.play(4 * time.Second)
		}},
		{name: "a new coordinator", used: 0.3, play: func(fleet *coldFleet) {
			fleet.begin(false)
			fleet.elect(1)
			fleet.play(3 * time.Second)
			fleet.terms[0].dead = true
			fleet.elect(1)
			fleet.play(3 * time.Second)
		}},
		{name: "a lost coordinator", play: func(fleet *coldFleet) {
			fleet.begin(false)
			fleet.elect(1)
			fleet.play(3 * time.Second)
			fleet.terms[0].dead = true
			fleet.play(4 * time.Second)
			fleet.elect(1)
			fleet.play(3 * time.Second)
		}},
		{name: "entries without a coordinator", play: func(fleet *coldFleet) {
			fleet.begin(false)
			fleet.elect(1)
			fleet.play(3 * time.Second)
			for index := range fleet.entries[:len(fleet.entries)/3] {
				fleet.entries[index].follows = -1
			}
			fleet.play(8 * time.Second)
		}},
		{name: "two coordinators", play: func(fleet *coldFleet) {
			fleet.begin(false)
			fleet.elect(1)
			fleet.play(3 * time.Second)
			fleet.elect(0.6)
			fleet.play(8 * time.Second)
		}},
		{name: "all processes start", play: func(fleet *coldFleet) {
			fleet.begin(false)
			fleet.play(time.Second)
			fleet.elect(1)
			fleet.play(3 * time.Second)
		}},
		{name: "no coordinator", play: func(fleet *coldFleet) {
			fleet.begin(false)
			fleet.play(3 * time.Second)
		}},
	}
	for _, size := range sizes {
		for _, each := range cases {
			t.Run(fmt.Sprintf("%d entries, %v a second, %s", size.entries, size.perSecond, each.name), func(t *testing.T) {
				g := NewWithT(t)
				for seed := range uint64(2) {
					fleet := newColdFleet(size.entries, size.perSecond, seed)
					each.play(fleet)
					most, total := fleet.most(epoch)
					// Two coordinators, or one and an entry without, have a permit each at least.
					g.Expect(most).To(BeNumerically("<=", max(size.perSecond, 2)), "in the worst second")
					g.Expect(float64(total+2)).To(BeNumerically(">=", each.used*4*size.perSecond), "in all")
				}
			})
		}
	}
}

// TestColdTimeThatBeginsUnseen guards against permits that add to the requests which
// entries sent before they knew that a server had become cold.
func TestColdTimeThatBeginsUnseen(t *testing.T) {
	g := NewWithT(t)
	fleet := newColdFleet(22, 19, 1)
	for _, entry := range fleet.entries {
		entry.weight = 0.01
	}
	fleet.elect(1)
	fleet.play(3 * time.Second)
	fleet.begin(true)
	knownAt := fleet.now.Add(noticeSpread)
	fleet.play(5 * time.Second)
	slices.SortFunc(fleet.arrivals, time.Time.Compare)
	most, _ := fleet.most(knownAt.Add(100 * time.Millisecond))
	g.Expect(most).To(BeNumerically("<=", 19))
	between := slices.ContainsFunc(fleet.arrivals, func(at time.Time) bool {
		return at.After(knownAt.Add(300*time.Millisecond)) && at.Before(knownAt.Add(time.Second))
	})
	g.Expect(between).To(BeFalse(), "no request until a second after the last one without a permit")
	g.Expect(fleet.arrivals[len(fleet.arrivals)-1].After(knownAt.Add(4 * time.Second))).To(BeTrue())
}

// TestColdTimeEnds guards against a server that stays limited, or closed, when it is warm.
func TestColdTimeEnds(t *testing.T) {
	g := NewWithT(t)
	gate := permit.NewGate()
	cold := permit.Cold{PerSecond: 3, Until: at(3)}
	gate.SetCold(engine, cold, true, at(0))
	gate.RecordAnswer(permit.Place{Entries: 2}, at(0))
	g.Expect(gate.Admit(engine, at(0))).To(Equal(permit.Closed{}))
	gate.RecordAnswer(permit.Place{Entries: 2}, at(2))
	g.Expect(gate.Admit(engine, at(2))).To(Equal(permit.NeedsPermit{Statement: permit.Statement{Server: engine}, Cold: cold}))
	g.Expect(gate.Limited(engine, at(2))).To(BeTrue())
	gate.Close(engine, time.Hour, at(2))
	g.Expect(gate.Restrictions(at(3))).To(BeEmpty())
	g.Expect(gate.Admit(engine, at(3))).To(Equal(permit.Free{}))
	gate.SetCold(engine, permit.Cold{PerSecond: 3, Until: at(9)}, false, at(4))
	gate.SetCold(engine, permit.Cold{PerSecond: 3}, true, at(5))
	g.Expect(gate.Admit(engine, at(5))).To(Equal(permit.Free{}), "the server says that it is warm")
	g.Expect(gate.Limited(engine, at(5))).To(BeFalse())
}

// TestFleetKeepsColdRateWithFaults guards against more requests than a cold server accepts
// while entries restart, lose their coordinator or follow a former one.
func TestFleetKeepsColdRateWithFaults(t *testing.T) {
	sizes := []struct {
		entries   int
		perSecond float64
		plays     uint64
	}{{22, 19, 4}, {26, 5, 4}, {400, 3, 1}}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d entries, %v a second", size.entries, size.perSecond), func(t *testing.T) {
			g := NewWithT(t)
			for seed := range size.plays {
				fleet := newColdFleet(size.entries, size.perSecond, seed)
				fleet.begin(false)
				fleet.elect(1)
				electAt := time.Time{}
				for range 40 {
					fleet.play(time.Duration(100+fleet.random.IntN(800)) * time.Millisecond)
					electAt = fleet.injectFault(electAt)
				}
				most, total := fleet.most(epoch)
				g.Expect(most).To(BeNumerically("<=", size.perSecond), "seed %d", seed)
				g.Expect(total).To(BeNumerically(">", 0), "seed %d", seed)
			}
		})
	}
}

// injectFault injects a random fault, and elects a coordinator if that is due. It returns
// when the next election is due, or the zero time.
func (fleet *coldFleet) injectFault(electAt time.Time) time.Time {
	const leaseTime = 2 * time.Second
	latest := len(fleet.terms) - 1
	if !electAt.IsZero() && fleet.now.After(electAt) {
		fleet.elect([]float64{1, 1, 0.7, 0.4}[fleet.random.IntN(4)])
		return time.Time{}
	}
	switch fleet.random.IntN(5) {
	case 0:
		fleet.terms[latest].dead = true
		return fleet.now.Add(leaseTime)
	case 1:
		return fleet.now.Add(leaseTime)
	case 2:
		for _, entry := range fleet.some(2) {
			entry.gate, entry.follows = permit.NewGate(), latest
			entry.gate.SetCold(engine, fleet.cold, true, fleet.now)
		}
	case 3:
		for _, entry := range fleet.some(3) {
			entry.follows = -1
		}
	case 4:
		for _, entry := range fleet.entries {
			entry.follows = latest
		}
	}
	return electAt
}

// some returns about one of so many entries.
func (fleet *coldFleet) some(of int) []*coldEntry {
	var chosen []*coldEntry
	for _, entry := range fleet.entries {
		if fleet.random.IntN(of) == 0 {
			chosen = append(chosen, entry)
		}
	}
	return chosen
}
