package spread_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/spread"
)

// TestFreshnessAgainstOracle cuts links and the platform's service, restarts and
// freezes instances, and duplicates and reorders messages at random, with clocks
// that run at different rates. The oracle knows when each version was accepted.
// The test fails if an instance considers a version fresh after a later one was
// accepted longer ago than the bound, or if a version in force decreases.
func TestFreshnessAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(3, rapid.IntRange(1, 5).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		for _, peer := range fleet.peers {
			fleet.members[peer.Instance].rate = rapid.SampledFrom([]float64{0.995, 1, 1.005}).Draw(t, "rate")
		}
		checkFleet(t, fleet)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			injectFault(t, fleet)
			fleet.run(time.Duration(rapid.IntRange(1, 7_000).Draw(t, "millis")) * time.Millisecond)
		}
	})
}

// checkFleet installs checks of each instance after each of its steps.
func checkFleet(t *rapid.T, fleet *fleet) {
	inForce := map[*member]config.Version{}
	fleet.observe = func(member *member) {
		if member.node.InForce() < inForce[member] {
			t.Fatalf("%s went from version %d to %d", member.peer.Instance, inForce[member], member.node.InForce())
		}
		inForce[member] = member.node.InForce()
		if fleet.admitsStale(member) {
			t.Fatalf("%s admits with version %d at %v; versions were accepted at %v",
				member.peer.Instance, member.node.InForce(), fleet.now, fleet.acceptedAt)
		}
	}
}

func injectFault(t *rapid.T, fleet *fleet) {
	peer := rapid.SampledFrom(fleet.peers).Draw(t, "peer")
	inDomain := func(instance names.Instance) bool { return instance[:2] == peer.Instance[:2] }
	switch rapid.IntRange(0, 10).Draw(t, "disturbance") {
	case 0, 1, 2:
		fleet.accept(peer.Instance)
	case 3:
		fleet.storeCut = allCut
	case 4:
		fleet.storeCut = inDomain
	case 5:
		fleet.linkCut = func(from, to names.Instance) bool { return inDomain(from) != inDomain(to) }
	case 6:
		fleet.linkCut = func(from, _ names.Instance) bool { return inDomain(from) }
	case 7:
		fleet.restart(peer.Instance)
	case 8:
		span := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "frozen")) * time.Millisecond
		fleet.freeze(fleet.members[peer.Instance], span)
	case 9:
		fleet.duplicate = !fleet.duplicate
	default:
		fleet.storeCut = noneCut
		fleet.linkCut = func(_, _ names.Instance) bool { return false }
	}
}

// Sequences that random testing has found.
var _ = Describe("found sequences", func() {
	watch := func(fleet *fleet) {
		fleet.observe = func(member *member) {
			Expect(fleet.admitsStale(member)).To(BeFalse(), "%s at %v", member.peer.Instance, fleet.now)
		}
	}

	It("does not treat an outage as proof of freshness if relays know of a later change", func() {
		fleet := newFleet(3, 2, 0)
		watch(fleet)
		fleet.run(2 * time.Second)
		fleet.accept("d0-000")
		fleet.run(time.Second)
		fleet.linkCut = func(from, _ names.Instance) bool { return from[:2] == "d0" }
		fleet.storeCut = func(instance names.Instance) bool { return instance[:2] == "d0" }
		fleet.run(time.Millisecond)
		fleet.accept("d1-000")
		fleet.storeCut = allCut
		fleet.run(20 * time.Second)
	})

	It("ignores news for an anchor of an earlier process", func() {
		fleet := newFleet(1, 1, 0)
		node := fleet.members["d0-000"].node
		node.Step(time.Second, spread.Fetched{OK: true, Version: 1})
		node.Step(time.Second, spread.NewsReceived{
			From: "other", Anchor: time.Hour, News: spread.News{Version: 1, Confirmed: &spread.Confirmation{Version: 1}},
		})
		Expect(node.Fresh(time.Hour)).To(BeFalse())
	})

	It("knows after a pause that its configuration is no longer confirmed", func() {
		fleet := newFleet(2, 4, 0)
		watch(fleet)
		fleet.run(5 * time.Second)
		frozen := fleet.members["d1-002"]
		Expect(frozen.node.Fresh(fleet.localTime(frozen))).To(BeTrue())
		fleet.freeze(frozen, 20*time.Second)
		fleet.accept("d0-000")
		fleet.run(20*time.Second - time.Millisecond)
		Expect(frozen.node.Fresh(fleet.localTime(frozen))).To(BeFalse())
		fleet.run(5 * time.Second)
		Expect(frozen.node.InForce()).To(BeEquivalentTo(1))
		Expect(frozen.node.Fresh(fleet.localTime(frozen))).To(BeTrue())
	})
})

var _ = Describe("evidence", func() {
	It("never appears newer than it is when clocks run at different rates", func() {
		const slow, fast = 0.995, 1.005
		cases := []struct {
			name           string
			sender, reader float64
			span           time.Duration
		}{
			{"fast sender, slow reader, after the anchor", fast, slow, 30 * time.Second},
			{"slow sender, fast reader, after the anchor", slow, fast, 30 * time.Second},
			{"fast sender, slow reader, before the anchor", fast, slow, -30 * time.Second},
			{"slow sender, fast reader, before the anchor", slow, fast, -30 * time.Second},
		}
		for _, each := range cases {
			const anchor = time.Minute
			node := spread.NewNode(spread.NodeConfig{})
			node.Step(anchor, spread.Fetched{OK: true, Version: 1})
			offset := time.Duration(float64(each.span) * each.sender)
			news := spread.News{Version: 1, Confirmed: &spread.Confirmation{Version: 1, Offset: offset}}
			node.Step(2*anchor, spread.NewsReceived{Anchor: anchor, News: news})
			freshAt, ok := node.FreshAt()
			Expect(ok).To(BeTrue())
			Expect(freshAt).To(BeNumerically("<=", anchor+time.Duration(float64(each.span)*each.reader)), each.name)
		}
	})
})

var _ = Describe("an outage", func() {
	It("proves freshness only if every failure domain reports it and knows no later version", func() {
		live := []spread.Peer{{Instance: "a", Domain: "d0"}, {Instance: "b", Domain: "d1"}}
		cases := []struct {
			name      string
			outages   []spread.Outage
			confirmed *spread.Confirmation
			want      bool
		}{
			{"all say so", []spread.Outage{{Domain: "d0", Version: 1}, {Domain: "d1", Version: 1}}, nil, true},
			{"one knows of a later version", []spread.Outage{{Domain: "d0", Version: 1}, {Domain: "d1", Version: 2}}, nil, false},
			{"one is not heard from", []spread.Outage{{Domain: "d0", Version: 1}}, nil, false},
			{
				"one reached the service later",
				[]spread.Outage{{Domain: "d0", Version: 1, Offset: -time.Second}, {Domain: "d1", Version: 1}},
				&spread.Confirmation{Version: 2, Offset: -500 * time.Millisecond}, false,
			},
		}
		for _, each := range cases {
			node := spread.NewNode(spread.NodeConfig{Self: live[0]})
			node.Step(0, spread.PeersChanged{Live: live})
			node.Step(0, spread.Fetched{OK: true, Version: 1})
			news := spread.News{Version: 1, Outages: each.outages, Confirmed: each.confirmed}
			node.Step(time.Minute, spread.NewsReceived{From: "b", Anchor: time.Minute, News: news})
			Expect(node.Fresh(time.Minute)).To(Equal(each.want), each.name)
		}
	})
})

var _ = Describe("a badly connected instance", func() {
	// leaf returns an instance that neither is a relay nor follows one.
	leaf := func(fleet *fleet) (names.Instance, func(names.Instance) bool) {
		relays := map[names.Instance]bool{}
		for _, relay := range fleet.members["d0-000"].node.Relays() {
			relays[relay.Instance] = true
		}
		isRelay := func(instance names.Instance) bool { return relays[instance] }
		for _, peer := range fleet.peers {
			followed := fleet.followed[peer.Instance]
			if !isRelay(peer.Instance) && followed != "" && !isRelay(followed) {
				return peer.Instance, isRelay
			}
		}
		Fail("no instance is that deep")
		return "", nil
	}

	It("passes its change on through its parent", func() {
		fleet := newFleet(3, 30, 1)
		fleet.run(5 * time.Second)
		writer, isRelay := leaf(fleet)
		fleet.storeCut = isRelay
		fleet.linkCut = func(from, to names.Instance) bool { return from == writer && to != fleet.followed[writer] }
		fleet.accept(writer)
		fleet.run(time.Second)
		Expect(fleet.countInForce(1)).To(Equal(90))
	})

	It("comes back to its parent without a gap", func() {
		fleet := newFleet(3, 30, 1)
		fleet.run(30 * time.Second) // All follow their first choice by then.
		child, _ := leaf(fleet)
		parent := fleet.followed[child]
		fleet.linkCut = func(from, to names.Instance) bool { return from == parent && to == child }
		fleet.run(5 * time.Second)
		Expect(fleet.followed[child]).NotTo(Equal(parent))
		fleet.linkCut = func(_, _ names.Instance) bool { return false }
		for range 60 {
			fleet.run(500 * time.Millisecond)
			Expect(fleet.countFresh()).To(Equal(90), "at %v", fleet.now)
		}
		Expect(fleet.followed[child]).To(Equal(parent))
	})

	It("learns of a change by comparing versions", func() {
		fleet := newFleet(3, 30, 1)
		fleet.run(5 * time.Second)
		isolated, isRelay := leaf(fleet)
		parent := fleet.followed[isolated]
		cut := func(from, to names.Instance) bool { return from == isolated && (isRelay(to) || to == parent) }
		fleet.linkCut = func(from, to names.Instance) bool { return cut(from, to) || cut(to, from) }
		fleet.run(20 * time.Second)
		fleet.accept("d1-000")
		fleet.run(time.Minute)
		Expect(fleet.countInForce(1)).To(Equal(90))
	})
})

// BenchmarkTopology measures what a change of the list of live instances costs an
// instance.
func BenchmarkTopology(b *testing.B) {
	peers := newFleet(5, 220, 1).peers
	node := spread.NewNode(spread.NodeConfig{Self: peers[0]})
	for b.Loop() {
		node.Step(0, spread.PeersChanged{Live: peers})
	}
}
