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

// acquaint lets all hosts know all, as long after their start.
func (network *network) acquaint() {
	records := make([]Record, 0, len(network.hosts))
	for _, host := range network.hosts {
		records = append(records, host.node.Self())
	}
	for _, host := range network.hosts {
		host.node.now = network.now
		host.node.hearAll(records)
		host.node.rumours = newRumours(false)
		host.node.listAt = network.now.Add(time.Duration(network.random.Int64N(int64(host.node.listPeriod()))))
	}
}

// sightings gathers how long the hosts took to see subjects in a state.
type sightings struct {
	network  *network
	state    fleet.State
	subjects map[*host]time.Time
	// want tells which viewers count.
	want  func(viewer, subject *host) bool
	seen  map[[2]names.Instance]bool
	times []time.Duration
	// wrong counts hosts seen as failed though they run and can be reached, and
	// doubted those suspected.
	wrong   int
	doubted int
}

func watch(network *network, state fleet.State) *sightings {
	sightings := &sightings{
		network: network, state: state, subjects: make(map[*host]time.Time),
		want: func(_, _ *host) bool { return true }, seen: make(map[[2]names.Instance]bool),
	}
	network.onAction = sightings.note
	return sightings
}

func (sightings *sightings) note(viewer *host, action Action) {
	switch action := action.(type) {
	case HealthChanged:
		subject := sightings.network.byAddr[action.Record.Member.Address()]
		_, expected := sightings.subjects[subject]
		if expected || sightings.state == fleet.StateFailed && sightings.subjects[viewer] != (time.Time{}) {
			return
		}
		if action.Record.Health == Failed {
			sightings.wrong++
		}
		if action.Record.Health == Suspect && bits.OnesCount8(action.Record.Accusers) <= 1 {
			sightings.doubted++
		}
	case ViewChanged:
		for subject, since := range sightings.subjects {
			key := [2]names.Instance{viewer.member.Instance(), subject.member.Instance()}
			if viewer == subject || sightings.seen[key] || !sightings.want(viewer, subject) ||
				sightings.network.state(viewer, subject) != sightings.state {
				continue
			}
			sightings.seen[key] = true
			sightings.times = append(sightings.times, sightings.network.now.Sub(since))
		}
	case SendProbe, SendRelay, SendPush, SendReply, ReadList, SelfLeaving:
	}
}

func (sightings *sightings) report(b *testing.B, name string, expected int) {
	b.Helper()
	slices.Sort(sightings.times)
	count := len(sightings.times)
	if count > 0 {
		b.ReportMetric(sightings.times[count/2].Seconds(), name+"-p50-s")
		b.ReportMetric(sightings.times[count*99/100].Seconds(), name+"-p99-s")
		b.ReportMetric(sightings.times[count-1].Seconds(), name+"-max-s")
	}
	if expected > 0 {
		b.ReportMetric(100*float64(count)/float64(expected), name+"-known-%")
	}
}

// benchFleet measures what a span costs each of count hosts.
func benchFleet(b *testing.B, count int, span time.Duration, prepare func(network *network)) *network {
	b.Helper()
	network := newNetwork(3)
	network.latency = func(from, to *host) time.Duration {
		if from.member.Region() != to.member.Region() {
			return 40 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	network.fleetOf(count)
	network.acquaint()
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

// listBytes is the size of one reading of the platform's list.
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

// targetFleet is how many instances the fleet is to have.
const targetFleet = 1100

func BenchmarkQuiet(b *testing.B) {
	for _, count := range []int{100, 300, targetFleet} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			benchFleet(b, count, time.Minute, func(*network) {})
		})
	}
}

func BenchmarkLoss(b *testing.B) {
	for _, percent := range []int{1, 5} {
		b.Run(fmt.Sprint(percent), func(b *testing.B) {
			var sightings *sightings
			benchFleet(b, targetFleet, 5*time.Minute, func(network *network) {
				network.loss = float64(percent) / 100
				sightings = watch(network, fleet.StateFailed)
			})
			b.ReportMetric(float64(sightings.wrong), "wrongly-failed")
		})
	}
}

func BenchmarkFailure(b *testing.B) {
	const dead = 10
	var sightings *sightings
	benchFleet(b, targetFleet, time.Minute, func(network *network) {
		sightings = watch(network, fleet.StateFailed)
		for number := range dead {
			network.after(time.Duration(number)*time.Second, func() {
				subject := network.hosts[number*97]
				subject.dead = true
				sightings.subjects[subject] = network.now
			})
		}
	})
	sightings.report(b, "failed", dead*(targetFleet-dead))
	b.ReportMetric(float64(sightings.wrong), "wrongly-failed")
}

func BenchmarkPause(b *testing.B) {
	var sightings *sightings
	benchFleet(b, targetFleet, time.Minute, func(network *network) {
		sightings = watch(network, fleet.StateFailed)
		for number := range 50 {
			network.hosts[number*21].wakes = network.now.Add(2 * time.Second)
		}
	})
	b.ReportMetric(float64(sightings.wrong), "wrongly-failed")
}

func BenchmarkLeaving(b *testing.B) {
	const leaving = 20
	for _, signal := range []string{"own", "list"} {
		b.Run(signal, func(b *testing.B) {
			var sightings *sightings
			benchFleet(b, targetFleet, 2*time.Minute, func(network *network) {
				sightings = watch(network, fleet.StateLeaving)
				for number := range leaving {
					network.after(time.Duration(number)*5*time.Second, func() {
						subject := network.hosts[number*53]
						sightings.subjects[subject] = network.now
						if signal == "own" {
							network.step(subject, Leave{}, nil)
						} else {
							network.mark(subject)
						}
					})
				}
			})
			sightings.report(b, "leaving", leaving*(targetFleet-1))
		})
	}
}

// BenchmarkDrain marks two failure domains as leaving at once.
func BenchmarkDrain(b *testing.B) {
	var sightings *sightings
	marked := 0
	benchFleet(b, targetFleet, time.Minute, func(network *network) {
		sightings = watch(network, fleet.StateLeaving)
		for _, host := range network.hosts {
			if host.member.Domain() == "north-0" || host.member.Domain() == "south-4" {
				network.mark(host)
				sightings.subjects[host] = network.now
				marked++
			}
		}
	})
	sightings.report(b, "leaving", marked*(targetFleet-1))
}

func BenchmarkCut(b *testing.B) {
	sides := []struct {
		name   string
		inside func(host *host) bool
	}{
		{name: "domain", inside: func(host *host) bool { return host.member.Domain() == "south-4" }},
		{name: "region", inside: func(host *host) bool { return host.member.Region() == "south" }},
	}
	for _, count := range []int{100, 300, targetFleet} {
		for _, side := range sides {
			b.Run(fmt.Sprintf("%d/%s", count, side.name), func(b *testing.B) { benchCut(b, count, side.inside) })
		}
	}
}

// benchCut cuts off the hosts inside for two minutes, and watches two more.
func benchCut(b *testing.B, count int, inside func(host *host) bool) {
	b.Helper()
	var failed, healed *sightings
	expected := 0
	crosses := func(from, to *host) bool { return inside(from) != inside(to) }
	benchFleet(b, count, 4*time.Minute, func(network *network) {
		failed = watch(network, fleet.StateFailed)
		failed.want = crosses
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
			healed = watch(network, fleet.StateLive)
			healed.want = crosses
			network.cut = func(_, _ *host) bool { return false }
			for _, host := range network.hosts {
				healed.subjects[host] = network.now
			}
		})
	})
	failed.report(b, "failed", expected)
	healed.report(b, "healed", expected)
}

// BenchmarkState measures what one node keeps of a fleet.
func BenchmarkState(b *testing.B) {
	for _, count := range []int{100, 300, targetFleet} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			var listed []fleet.Member
			for number := range count {
				listed = append(listed, describe(number))
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
