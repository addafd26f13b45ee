package member

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/plat"
)

// introduceAll puts the hosts in the state of a fleet that has run for long: every
// host has all records and has nothing left to broadcast.
func (network *network) introduceAll() {
	records := make([]Record, 0, len(network.hosts))
	for _, host := range network.hosts {
		records = append(records, host.node.Self())
	}
	for _, host := range network.hosts {
		host.node.now = network.now
		host.node.applyRecords(records)
		host.node.broadcasts = newBroadcastQueue(false)
		host.node.nextListAt = network.now.Add(time.Duration(network.random.Int64N(int64(host.node.listPeriod()))))
	}
}

// observations records how long the hosts took to see subjects in a state.
type observations struct {
	network  *network
	state    fleet.State
	subjects map[*host]time.Time
	// counted reports whether a pair of viewer and subject is measured.
	counted func(viewer, subject *host) bool
	seen    map[[2]names.Instance]bool
	times   []time.Duration
	// falseFailures counts how often a host was seen as failed though it was running
	// and reachable, and falseSuspicions how often one became suspect by
	// a single accusation.
	falseFailures   int
	falseSuspicions int
}

func observe(network *network, state fleet.State) *observations {
	observations := &observations{
		network: network, state: state, subjects: make(map[*host]time.Time),
		counted: func(_, _ *host) bool { return true }, seen: make(map[[2]names.Instance]bool),
	}
	network.onAction = observations.record
	return observations
}

func (observations *observations) record(viewer *host, action Action) {
	switch action := action.(type) {
	case HealthChanged:
		subject := observations.network.byAddr[action.Record.Member.Address()]
		_, expected := observations.subjects[subject]
		if expected || observations.state == fleet.StateFailed && observations.subjects[viewer] != (time.Time{}) {
			return
		}
		if action.Record.Health == Failed {
			observations.falseFailures++
		}
		if action.Record.Health == Suspect && bits.OnesCount8(action.Record.Accusers) <= 1 {
			observations.falseSuspicions++
		}
	case ViewChanged:
		for subject, since := range observations.subjects {
			key := [2]names.Instance{viewer.member.Instance(), subject.member.Instance()}
			if viewer == subject || observations.seen[key] || !observations.counted(viewer, subject) ||
				observations.network.state(viewer, subject) != observations.state {
				continue
			}
			observations.seen[key] = true
			observations.times = append(observations.times, observations.network.now.Sub(since))
		}
	case SendProbe, SendRelay, SendPush, SendReply, ReadList, SelfLeaving:
	}
}

func (observations *observations) report(b *testing.B, name string, expected int) {
	b.Helper()
	slices.Sort(observations.times)
	count := len(observations.times)
	if count > 0 {
		b.ReportMetric(observations.times[count/2].Seconds(), name+"-p50-s")
		b.ReportMetric(observations.times[count*99/100].Seconds(), name+"-p99-s")
		b.ReportMetric(observations.times[count-1].Seconds(), name+"-max-s")
	}
	if expected > 0 {
		b.ReportMetric(100*float64(count)/float64(expected), name+"-known-%")
	}
}

// benchFleet runs a fleet of count hosts for span and reports its cost for each of
// them.
func benchFleet(b *testing.B, count int, span time.Duration, prepare func(network *network)) *network {
	b.Helper()
	network := newNetwork(3)
	network.latency = func(from, to *host) time.Duration {
		if from.member.Region() != to.member.Region() {
			return 40 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	network.startFleet(count)
	network.introduceAll()
	network.run(10 * time.Second)
	for _, host := range network.hosts {
		host.bytes, host.messages, host.reads = 0, 0, 0
	}
	prepare(network)
	b.ResetTimer()
	start := time.Now()
	network.run(span)
	cpu := time.Since(start)
	seconds := span.Seconds()
	var sent, messages, reads, most int
	for _, host := range network.hosts {
		sent, messages, reads, most = sent+host.bytes, messages+host.messages, reads+host.reads, max(most, host.bytes)
	}
	b.ReportMetric(float64(sent)/seconds/float64(count), "B/s/instance")
	b.ReportMetric(float64(most)/seconds, "B/s-worst")
	b.ReportMetric(float64(messages)/seconds/float64(count), "messages/s/instance")
	b.ReportMetric(float64(reads)/seconds, "list-reads/s")
	b.ReportMetric(float64(reads)/seconds/float64(count)*float64(listBytes(network.list)), "list-B/s/instance")
	b.ReportMetric(100*cpu.Seconds()/seconds/float64(count), "core-%/instance")
	return network
}

// listBytes returns the encoded size of the platform's list.
func listBytes(members []fleet.Member) int {
	var list plat.InstanceList
	for _, member := range members {
		list.Instances = append(list.Instances, plat.Instance{
			Name: string(member.Instance()), Address: member.Address(), Role: string(member.Role()),
			FailureDomain: string(member.Domain()), Region: string(member.Region()),
			Service: string(member.Service()), BackendServer: string(member.Server()),
		})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

// targetFleetSize is the number of instances that the fleet is designed for.
const targetFleetSize = 1100

func BenchmarkQuiet(b *testing.B) {
	for _, count := range []int{100, 300, targetFleetSize} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			benchFleet(b, count, time.Minute, func(*network) {})
		})
	}
}

func BenchmarkLoss(b *testing.B) {
	for _, percent := range []int{1, 5} {
		b.Run(fmt.Sprint(percent), func(b *testing.B) {
			var observations *observations
			benchFleet(b, targetFleetSize, 5*time.Minute, func(network *network) {
				network.loss = float64(percent) / 100
				observations = observe(network, fleet.StateFailed)
			})
			b.ReportMetric(float64(observations.falseFailures), "wrongly-failed")
		})
	}
}

func BenchmarkFailure(b *testing.B) {
	const dead = 10
	var observations *observations
	benchFleet(b, targetFleetSize, time.Minute, func(network *network) {
		observations = observe(network, fleet.StateFailed)
		for number := range dead {
			network.after(time.Duration(number)*time.Second, func() {
				subject := network.hosts[number*97]
				subject.dead = true
				observations.subjects[subject] = network.now
			})
		}
	})
	observations.report(b, "failed", dead*(targetFleetSize-dead))
	b.ReportMetric(float64(observations.falseFailures), "wrongly-failed")
}

func BenchmarkPause(b *testing.B) {
	var observations *observations
	benchFleet(b, targetFleetSize, time.Minute, func(network *network) {
		observations = observe(network, fleet.StateFailed)
		for number := range 50 {
			network.hosts[number*21].frozenUntil = network.now.Add(2 * time.Second)
		}
	})
	b.ReportMetric(float64(observations.falseFailures), "wrongly-failed")
}

func BenchmarkLeaving(b *testing.B) {
	const leaving = 20
	for _, signal := range []string{"own", "list"} {
		b.Run(signal, func(b *testing.B) {
			var observations *observations
			benchFleet(b, targetFleetSize, 2*time.Minute, func(network *network) {
				observations = observe(network, fleet.StateLeaving)
				for number := range leaving {
					network.after(time.Duration(number)*5*time.Second, func() {
						subject := network.hosts[number*53]
						observations.subjects[subject] = network.now
						if signal == "own" {
							network.step(subject, Leave{}, nil)
						} else {
							network.markLeaving(subject)
						}
					})
				}
			})
			observations.report(b, "leaving", leaving*(targetFleetSize-1))
		})
	}
}

// BenchmarkDrain marks two failure domains as leaving at once.
func BenchmarkDrain(b *testing.B) {
	var observations *observations
	marked := 0
	benchFleet(b, targetFleetSize, time.Minute, func(network *network) {
		observations = observe(network, fleet.StateLeaving)
		for _, host := range network.hosts {
			if host.member.Domain() == "north-0" || host.member.Domain() == "south-4" {
				network.markLeaving(host)
				observations.subjects[host] = network.now
				marked++
			}
		}
	})
	observations.report(b, "leaving", marked*(targetFleetSize-1))
}

func BenchmarkCut(b *testing.B) {
	sides := []struct {
		name   string
		inside func(host *host) bool
	}{
		{name: "domain", inside: func(host *host) bool { return host.member.Domain() == "south-4" }},
		{name: "region", inside: func(host *host) bool { return host.member.Region() == "south" }},
	}
	for _, count := range []int{100, 300, targetFleetSize} {
		for _, side := range sides {
			b.Run(fmt.Sprintf("%d/%s", count, side.name), func(b *testing.B) { benchCut(b, count, side.inside) })
		}
	}
}

// benchCut cuts off the hosts inside for two minutes and observes the fleet for
// two minutes after the cut ends.
func benchCut(b *testing.B, count int, inside func(host *host) bool) {
	b.Helper()
	var failed, healed *observations
	expected := 0
	crosses := func(from, to *host) bool { return inside(from) != inside(to) }
	benchFleet(b, count, 4*time.Minute, func(network *network) {
		failed = observe(network, fleet.StateFailed)
		failed.counted = crosses
		network.cut = crosses
		for _, host := range network.hosts {
			failed.subjects[host] = network.now
			for _, other := range network.hosts {
				if crosses(host, other) {
					expected++
				}
			}
		}
		network.after(2*time.Minute, func() {
			healed = observe(network, fleet.StateLive)
			healed.counted = crosses
			network.cut = func(_, _ *host) bool { return false }
			for _, host := range network.hosts {
				healed.subjects[host] = network.now
			}
		})
	})
	failed.report(b, "failed", expected)
	healed.report(b, "healed", expected)
}

// BenchmarkState measures the memory that one node needs for a fleet.
func BenchmarkState(b *testing.B) {
	for _, count := range []int{100, 300, targetFleetSize} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			var listed []fleet.Member
			for number := range count {
				listed = append(listed, newTestMember(number))
			}
			nodes := make([]*Node, b.N)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for index := range nodes {
				nodes[index] = NewNode(Config{Self: listed[0], Birth: 1})
				nodes[index].Step(time.UnixMilli(1), ListReceived{Members: listed})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "state-B")
			runtime.KeepAlive(nodes)
		})
	}
}
