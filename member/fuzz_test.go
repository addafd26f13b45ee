package member

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
)

const (
	fuzzFleetSize = 12
	// fuzzDeaths is the number of hosts that may die. It leaves most of each host's
	// monitors alive, without which an instance that replies may be marked as
	// failed.
	fuzzDeaths = 3
	// fuzzFrozen is how long a frozen host pauses, which must not make it fail.
	fuzzFrozen = 2 * time.Second
	// maxProbeRecords is the number of records that a probe may carry at most.
	maxProbeRecords = 2*maxMessageRecords + 1
)

// oracle holds what is known for certain about each host, and checks the views of
// the hosts against it.
type oracle struct {
	network *network
	// unreachable holds the hosts that died or were cut off at any time. They may be
	// seen as failed, and may see others as failed.
	unreachable map[names.Instance]bool
	leaving     map[names.Instance]bool
	// seenLeaving maps a viewer and an instance to the birth that the viewer last saw
	// as leaving.
	seenLeaving map[[2]names.Instance]uint64
}

func (oracle *oracle) observeActions(t *rapid.T) {
	oracle.network.onAction = func(viewer *host, action Action) {
		switch action := action.(type) {
		case HealthChanged:
			subject := action.Record.Member.Instance()
			if action.Record.Health == Failed && !oracle.unreachable[subject] && !oracle.unreachable[viewer.member.Instance()] {
				t.Fatalf("%s sees %s as failed though it is reachable", viewer.member.Instance(), subject)
			}
		case SendProbe:
			if len(action.Probe.Records) > maxProbeRecords {
				t.Fatalf("a probe carries %d records", len(action.Probe.Records))
			}
		case SelfLeaving:
			if !oracle.leaving[viewer.member.Instance()] {
				t.Fatalf("%s reports itself as leaving, which it is not", viewer.member.Instance())
			}
		case SendRelay, SendPush, SendReply, ReadList, ViewChanged:
		}
	}
}

// check compares the table of every host with what is true.
func (oracle *oracle) check(t *rapid.T) {
	for _, viewer := range oracle.network.hosts {
		if size := len(viewer.node.table.members); size > len(oracle.network.hosts) {
			t.Fatalf("%s keeps %d members of %d", viewer.member.Instance(), size, len(oracle.network.hosts))
		}
		for instance, member := range viewer.node.table.members {
			key := [2]names.Instance{viewer.member.Instance(), instance}
			birth, marked := oracle.seenLeaving[key]
			if marked && birth == member.record.Birth && !member.record.Leaving {
				t.Fatalf("%s cleared the leaving mark of %s", key[0], key[1])
			}
			if member.record.Leaving {
				if !oracle.leaving[instance] {
					t.Fatalf("%s sees %s as leaving, which it is not", key[0], key[1])
				}
				oracle.seenLeaving[key] = member.record.Birth
			}
		}
	}
}

func (oracle *oracle) pick(t *rapid.T) *host {
	return rapid.SampledFrom(oracle.network.hosts).Draw(t, "host")
}

func (oracle *oracle) alive() int {
	count := 0
	for _, host := range oracle.network.hosts {
		if !host.dead {
			count++
		}
	}
	return count
}

func (oracle *oracle) steps() map[string]func(*rapid.T) {
	network := oracle.network
	return map[string]func(*rapid.T){
		"time passes": func(t *rapid.T) {
			network.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "millis")) * time.Millisecond)
		},
		"a host leaves": func(t *rapid.T) {
			host := oracle.pick(t)
			oracle.leaving[host.member.Instance()] = true
			network.step(host, Leave{}, nil)
		},
		"the list marks a host": func(t *rapid.T) {
			host := oracle.pick(t)
			oracle.leaving[host.member.Instance()] = true
			network.markLeaving(host)
		},
		"a host dies": func(t *rapid.T) {
			host := oracle.pick(t)
			if oracle.alive() > fuzzFleetSize-fuzzDeaths {
				oracle.unreachable[host.member.Instance()] = true
				host.dead = true
			}
		},
		"a host freezes": func(t *rapid.T) {
			host := oracle.pick(t)
			if !host.frozenUntil.After(network.now.Add(-warmUp)) {
				host.frozenUntil = network.now.Add(fuzzFrozen)
			}
		},
		"a host is cut off": func(t *rapid.T) {
			cut := oracle.pick(t)
			oracle.unreachable[cut.member.Instance()] = true
			way := rapid.IntRange(0, 2).Draw(t, "way")
			network.cut = func(from, to *host) bool {
				return way != 0 && from == cut || way != 1 && to == cut
			}
		},
		"the cut ends": func(*rapid.T) { network.cut = func(_, _ *host) bool { return false } },
		"the list is down": func(t *rapid.T) {
			network.listDown = rapid.Bool().Draw(t, "down")
		},
		"": oracle.check,
	}
}

// settle ends all faults and then requires every host to see the true states.
func (oracle *oracle) settle(t *rapid.T) {
	network := oracle.network
	network.cut = func(_, _ *host) bool { return false }
	network.listDown = false
	network.run(2 * healBound)
	oracle.check(t)
	for _, subject := range network.hosts {
		want := fleet.StateLive
		if oracle.leaving[subject.member.Instance()] {
			want = fleet.StateLeaving
		}
		if subject.dead {
			want = fleet.StateFailed
		}
		for _, viewer := range network.hosts {
			if got := network.state(viewer, subject); !viewer.dead && viewer != subject && got != want {
				t.Fatalf("%s sees %s as %q, want %q", viewer.member.Instance(), subject.member.Instance(), got, want)
			}
		}
	}
}

// TestFuzz runs fleets of nodes through random faults and compares their views
// with the true states.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := newNetwork(rapid.Uint64().Draw(t, "seed"))
		network.startFleet(fuzzFleetSize)
		network.run(warmUp)
		oracle := &oracle{
			network: network, unreachable: make(map[names.Instance]bool),
			leaving: make(map[names.Instance]bool), seenLeaving: make(map[[2]names.Instance]uint64),
		}
		oracle.observeActions(t)
		t.Repeat(oracle.steps())
		oracle.settle(t)
	})
}

// TestMergeAgrees checks that the order in which records are merged does not
// matter.
func TestMergeAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		record := func(label string) Record {
			return Record{
				Member: newTestMember(1).WithState("", false), Birth: 1, Incarnation: rapid.Uint64Range(1, 3).Draw(t, label),
				Health:  Health(rapid.IntRange(0, int(Gone)).Draw(t, label)),
				Leaving: rapid.Bool().Draw(t, label), Accusers: uint8(rapid.IntRange(0, 31).Draw(t, label)),
			}
		}
		left, middle, right := record("left"), record("middle"), record("right")
		g.Expect(left.merge(right)).To(Equal(right.merge(left)))
		g.Expect(left.merge(middle).merge(right)).To(Equal(left.merge(middle.merge(right))))
		g.Expect(left.merge(left)).To(Equal(left))
	})
}
