package member

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	proof.Suite(t, "member")
}

const (
	fleetSize = 40
	// warmUp is long enough for every host to know all others.
	warmUp = 20 * time.Second
	// deadBound is the time within which all hosts see a dead instance as failed.
	deadBound = 15 * time.Second
	// leaveBound is the time within which all hosts see a leaving instance as leaving.
	leaveBound = 3 * time.Second
	// healBound is the time within which all views recover after a cut has ended.
	healBound = time.Minute
)

func warmNetwork(disabled Disabled) *network { return warmNetworkOf(fleetSize, disabled) }

// warmNetworkOf returns a network of size hosts that all know one another. A size
// of zero means fleetSize.
func warmNetworkOf(size int, disabled Disabled) *network {
	if size == 0 {
		size = fleetSize
	}
	network := newNetwork(7)
	network.disabled = disabled
	network.startFleet(size)
	network.run(warmUp)
	return network
}

// countFalseFailures runs the network and counts how often a running host was seen
// as failed.
func countFalseFailures(network *network, span time.Duration) int {
	count := 0
	network.onAction = func(_ *host, action Action) {
		changed, ok := action.(HealthChanged)
		if !ok || changed.Record.Health != Failed {
			return
		}
		if subject := network.byAddr[changed.Record.Member.Address()]; !subject.dead {
			count++
		}
	}
	network.run(span)
	network.onAction = func(*host, Action) {}
	return count
}

var _ = Describe("a fleet", func() {
	It("sees every instance live", func() {
		network := warmNetwork(Disabled{})
		for _, host := range network.hosts {
			Expect(network.countViewers(host, fleet.StateLive)).To(Equal(fleetSize - 1))
		}
	})

	It("knows a dead instance as failed, and as gone once the list drops it", func() {
		network := warmNetwork(Disabled{})
		dead := network.hosts[3]
		dead.dead = true
		network.run(deadBound)
		Expect(network.countViewers(dead, fleet.StateFailed)).To(Equal(fleetSize - 1))
		network.removeFromList(dead)
		network.run(2 * maxListPeriod / 10)
		Expect(network.countViewers(dead, "")).To(Equal(fleetSize - 1))
	})

	It("keeps an instance that the list drops though it answers", func() {
		network := warmNetwork(Disabled{})
		network.list = nil
		network.run(time.Minute)
		Expect(network.countViewers(network.hosts[0], fleet.StateLive)).To(Equal(fleetSize - 1))
	})

	It("learns of a new instance that is not on the list from the instance itself", func() {
		network := warmNetwork(Disabled{})
		fresh := network.add(newTestMember(fleetSize), false)
		network.run(deadBound)
		Expect(network.countViewers(fresh, fleet.StateLive)).To(Equal(fleetSize))
	})

	It("goes on while the list is down", func() {
		network := warmNetwork(Disabled{})
		network.listDown = true
		network.hosts[5].dead = true
		network.step(network.hosts[6], Leave{}, nil)
		network.run(deadBound)
		Expect(network.countViewers(network.hosts[5], fleet.StateFailed)).To(Equal(fleetSize - 1))
		Expect(network.countViewers(network.hosts[6], fleet.StateLeaving)).To(Equal(fleetSize - 2))
	})

	It("does not fail an instance that is paused for two seconds", func() {
		network := warmNetwork(Disabled{})
		for _, host := range network.hosts[:4] {
			host.frozenUntil = network.now.Add(2 * time.Second)
		}
		Expect(countFalseFailures(network, time.Minute)).To(BeZero())
	})

	It("sees an instance as live again after a long freeze", func() {
		network := warmNetwork(Disabled{})
		frozen := network.hosts[2]
		frozen.frozenUntil = network.now.Add(time.Minute)
		network.run(deadBound)
		Expect(network.countViewers(frozen, fleet.StateFailed)).To(Equal(fleetSize - 1))
		network.run(time.Minute)
		Expect(network.countViewers(frozen, fleet.StateLive)).To(Equal(fleetSize - 1))
	})

	It("knows a leaving instance within the bound, from either signal, and for good", func() {
		network := warmNetwork(Disabled{})
		stopping, marked := network.hosts[1], network.hosts[2]
		network.step(stopping, Leave{}, nil)
		network.markLeaving(marked)
		network.run(leaveBound)
		for _, leaving := range []*host{stopping, marked} {
			Expect(network.countViewers(leaving, fleet.StateLeaving)).To(Equal(fleetSize - 1))
			Expect(leaving.node.Self().Leaving).To(BeTrue())
		}
		network.run(time.Minute)
		Expect(network.countViewers(stopping, fleet.StateLeaving)).To(Equal(fleetSize - 1))
	})

	type cut struct {
		title string
		cut   func(from, to *host) bool
		// failed reports whether viewer must see subject as failed during the cut.
		failed func(viewer, subject *host) bool
	}
	inDomain := func(host *host) bool { return host.member.Domain() == "south-4" }
	inSouth := func(host *host) bool { return host.member.Region() == "south" }
	inRack := func(host *host) bool { return host.member.Instance() < "instance-0006" }
	cuts := []cut{
		{
			title: "a failure domain",
			cut:   func(from, to *host) bool { return inDomain(from) != inDomain(to) },
			failed: func(viewer, subject *host) bool {
				return !inDomain(viewer) && inDomain(subject)
			},
		},
		{
			title: "a rack",
			cut:   func(from, to *host) bool { return inRack(from) || inRack(to) },
			failed: func(viewer, subject *host) bool {
				return !inRack(viewer) && inRack(subject)
			},
		},
		{
			title: "the regions from one another",
			cut:   func(from, to *host) bool { return inSouth(from) != inSouth(to) },
			failed: func(viewer, subject *host) bool {
				return inSouth(viewer) != inSouth(subject)
			},
		},
	}
	for _, each := range cuts {
		It("detects a cut that separates "+each.title+", and its end", func() {
			network := warmNetwork(Disabled{})
			network.cut = each.cut
			network.run(healBound)
			for _, viewer := range network.hosts {
				for _, subject := range network.hosts {
					if each.failed(viewer, subject) {
						Expect(network.state(viewer, subject)).To(Equal(fleet.StateFailed))
					}
				}
			}
			network.cut = func(_, _ *host) bool { return false }
			network.run(healBound)
			for _, host := range network.hosts {
				Expect(network.countViewers(host, fleet.StateLive)).To(Equal(fleetSize - 1))
			}
		})
	}

	It("fails nobody for a cut one way between two failure domains", func() {
		network := warmNetwork(Disabled{})
		network.cut = func(from, to *host) bool {
			return from.member.Domain() == "north-0" && to.member.Domain() == "north-1"
		}
		Expect(countFalseFailures(network, healBound)).To(BeZero())
	})

	It("fails nobody for one instance that hears nothing", func() {
		network := warmNetwork(Disabled{})
		deaf := network.hosts[0]
		network.cut = func(_, to *host) bool { return to == deaf }
		failed := 0
		network.onAction = func(_ *host, action Action) {
			changed, ok := action.(HealthChanged)
			if ok && changed.Record.Health == Failed && changed.Record.Member.Instance() != deaf.member.Instance() {
				failed++
			}
		}
		network.run(healBound)
		Expect(failed).To(BeZero())
	})
})
