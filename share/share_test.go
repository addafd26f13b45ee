package share_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/share"
)

// settled returns a fleet after five seconds in which every entry reports to the
// first coordinator.
func settled() *fleet {
	fleet := newFleet()
	fleet.used = []float64{0}
	fleet.elect(nil)
	for range 100 {
		fleet.advance()
		for index, entry := range fleet.entries {
			if (fleet.step+index)%exchangeSteps == 0 {
				fleet.exchange(entry)
			}
		}
		if fleet.step%10 == 0 {
			fleet.divide()
		}
	}
	return fleet
}

func TestOneEntryGetsAWholeAccountsBurst(t *testing.T) {
	g := NewWithT(t)
	fleet := settled()
	before := fleet.used[fleet.step]
	for range 9 {
		fleet.admit(fleet.entries[0], 100)
	}
	g.Expect(fleet.used[fleet.step]-before).To(Equal(900.0), "one entry can use what the others do not use")
}

func TestLargeRequestsAreNotStarved(t *testing.T) {
	g := NewWithT(t)
	fleet := settled()
	large, small := 0, 0
	for range 400 {
		fleet.advance()
		for index, entry := range fleet.entries {
			if (fleet.step+index)%exchangeSteps == 0 {
				fleet.exchange(entry)
			}
			before := fleet.used[fleet.step]
			fleet.admit(entry, 600)
			if fleet.used[fleet.step] > before {
				large++
			}
			before = fleet.used[fleet.step]
			fleet.admit(entry, 60)
			if fleet.used[fleet.step] > before {
				small++
			}
		}
	}
	g.Expect(float64(large)).To(BeNumerically(">=", 0.5*float64(small)))
}

func TestShareServesWithoutCoordinator(t *testing.T) {
	g := NewWithT(t)
	fleet := settled()
	fleet.terms[0].dead = true
	fleet.terms[0].exclusive = false
	served := 0.0
	for range 160 {
		fleet.advance()
		for _, entry := range fleet.entries {
			before := fleet.used[fleet.step]
			fleet.admit(entry, 20)
			served += fleet.used[fleet.step] - before
		}
	}
	// Eight seconds at 1000 tokens per second, less the 1.6 s until entries use their
	// shares.
	g.Expect(served).To(BeNumerically(">", 4500))
	g.Expect(fleet.excess(8 * time.Second)).To(BeNumerically("<=", 0))
}

func TestSharesAreGivenToManyEntries(t *testing.T) {
	g := NewWithT(t)
	divider := share.NewDivider(share.DividerConfig{Term: 1, Now: epoch})
	for index := range 24 {
		divider.Report(names.Instance(string(rune('a'+index))), share.State{}, epoch)
	}
	record, raised := divider.Propose([]names.ClientAccount{notes}, epoch)
	g.Expect(raised).To(BeTrue(), "an even share of 24 entries is above the least change")
	total := 0.0
	for _, holder := range record {
		g.Expect(holder.Shares[notes]).To(BeNumerically(">", 0.03))
		total += holder.Shares[notes]
	}
	g.Expect(total).To(BeNumerically("<=", 1))
}

func TestRestartedEntryUsesItsRecordedShare(t *testing.T) {
	g := NewWithT(t)
	limiter := share.NewLimiter()
	limiter.Restore(share.Holder{Shares: share.Amounts{notes: 0.25}}, limits(), epoch)
	_, taken := limiter.Take(account(limits()), 40, epoch)
	g.Expect(taken).To(BeTrue())
	_, taken = limiter.Take(account(limits()), 40, epoch.Add(share.StartLifetime))
	g.Expect(taken).To(BeFalse(), "the coordinator may have granted the share to others by then")
}

func TestRecordSurvivesItsCodec(t *testing.T) {
	g := NewWithT(t)
	record := share.Record{
		"entry-1": {Shares: share.Amounts{notes: 0.5}},
		"entry-2": {Shares: share.Amounts{notes: 0.25}, Ending: true, Left: 3 * time.Second},
	}
	data, err := record.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := share.DecodeRecord(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(record))
	_, err = share.DecodeRecord([]byte("{"))
	var recordError *share.RecordError
	g.Expect(err).To(BeAssignableToTypeOf(recordError))
}

// TestAccountsBelowTheirLimitOutliveACoordinator guards against refusals, after
// the loss of a coordinator, of requests within an account's limit: 55 % of it, in
// even and uneven parts over the entries. The lease expires two seconds after the
// coordinator is lost, and an election takes up to half a second.
func TestAccountsBelowTheirLimitOutliveACoordinator(t *testing.T) {
	cases := []struct {
		name  string
		parts []float64
	}{
		{name: "even", parts: []float64{0.25, 0.25, 0.25, 0.25}},
		{name: "uneven", parts: []float64{0.4, 0.3, 0.2, 0.1}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			fleet := settled()
			const cost, perSecond, lostAt, electedAt, steps = 20.0, 550.0, 100, 150, 200
			refused, due := 0, make([]float64, fleetEntries)
			for step := range steps {
				fleet.advance()
				switch step {
				case lostAt:
					fleet.terms[0].dead = true
				case electedAt:
					fleet.elect(nil)
				}
				for index, entry := range fleet.entries {
					if (fleet.step+index)%exchangeSteps == 0 {
						fleet.exchange(entry)
					}
					for due[index] += perSecond * each.parts[index] * fleetStep.Seconds(); due[index] >= cost; due[index] -= cost {
						before := fleet.used[fleet.step]
						fleet.admit(entry, cost)
						if fleet.used[fleet.step] == before {
							refused++
						}
					}
				}
				if fleet.step%10 == 0 {
					fleet.divide()
				}
			}
			g.Expect(refused).To(BeZero())
			g.Expect(fleet.excess(8 * time.Second)).To(BeNumerically("<=", 0))
		})
	}
}

func TestRecordWithSharesThatCannotBeIsUnreadable(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		`{"holders":{"entry-1":{"notes":1e300}}}`, `{"holders":{"entry-1":{"notes":-1}}}`, `{"holders":{"entry-1":{"notes":1.5}}}`,
		`{"holders":{"entry-1":{"notes":"0.5"}}}`, `{"holders":{"entry-1":{"notes":1e400}}}`, `{"holders":[]}`, "", "\xff",
	} {
		_, err := share.DecodeRecord([]byte(text))
		var recordError *share.RecordError
		g.Expect(err).To(BeAssignableToTypeOf(recordError), "%q", text)
	}
}
