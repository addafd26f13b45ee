package poison_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

const (
	fleetServers       = 6
	fleetInnocents     = 12
	fleetDeferDuration = 10 * time.Second
	fleetRetention     = time.Hour
)

var start = time.Unix(1_000_000, 0)

func fingerprint(i int) poison.Fingerprint {
	return poison.NewFingerprint("account", "model", []byte(fmt.Sprint(i)))
}

// poisonous is the fingerprint that crashes every server it runs on. All others
// are innocent.
var poisonous = fingerprint(-1)

type fleetServer struct {
	name    names.BackendServer
	tracker *poison.Tracker
	gate    *poison.Gate
	boot    int
	running map[poison.Fingerprint]int
}

// fleet simulates servers with one tracker each, which gossip at random.
type fleet struct {
	t       *rapid.T
	now     time.Time
	servers []*fleetServer
	names   []names.BackendServer
	crashed map[names.BackendServer]bool
	// aloneInFault contains innocent fingerprints that ran alone when a server
	// failed without cause. They may be quarantined.
	aloneInFault map[poison.Fingerprint]bool
}

func newFleet(t *rapid.T) *fleet {
	fleet := &fleet{
		t: t, now: start, crashed: map[names.BackendServer]bool{}, aloneInFault: map[poison.Fingerprint]bool{},
	}
	for i := range fleetServers {
		name := names.BackendServer(fmt.Sprintf("server-%d", i))
		tracker := poison.NewTracker(poison.Config{Retention: fleetRetention, DeferDuration: fleetDeferDuration})
		fleet.names = append(fleet.names, name)
		fleet.servers = append(fleet.servers, &fleetServer{
			name: name, tracker: tracker, gate: poison.NewGate(poison.GateConfig{Server: name, Tracker: tracker}),
			running: map[poison.Fingerprint]int{},
		})
	}
	return fleet
}

func (fleet *fleet) server(name names.BackendServer) *fleetServer {
	for _, server := range fleet.servers {
		if server.name == name {
			return server
		}
	}
	return nil
}

// send runs fingerprint on one of its candidate servers, as an entry without any
// knowledge of crashes does.
func (fleet *fleet) send(fingerprint poison.Fingerprint) {
	candidates := poison.Candidates(fingerprint, fleet.names)
	server := fleet.server(rapid.SampledFrom(candidates).Draw(fleet.t, "server"))
	fleet.admit(server, fingerprint)
}

func (fleet *fleet) admit(server *fleetServer, fingerprint poison.Fingerprint) {
	if _, admitted := server.gate.Admit(fleet.now, fingerprint).(poison.Admit); admitted {
		server.running[fingerprint]++
	}
}

// crash ends server and retries some of the requests that it ran on the other
// candidate. Each retry carries the crash to that server's tracker.
func (fleet *fleet) crash(server *fleetServer) {
	ran := server.running
	server.running = map[poison.Fingerprint]int{}
	server.boot++
	crash := server.gate.RecordCrash(fleet.now, fmt.Sprint(server.boot))
	for fingerprint := range ran {
		for _, name := range poison.Candidates(fingerprint, fleet.names) {
			other := fleet.server(name)
			if other == server || !rapid.Bool().Draw(fleet.t, "retry") {
				continue
			}
			other.tracker.Merge(fleet.now, poison.Snapshot{Crashes: []poison.Crash{crash}})
			fleet.admit(other, fingerprint)
		}
	}
}

// run ends all requests on server: with a crash if the poisonous one is among
// them, completed otherwise.
func (fleet *fleet) run(server *fleetServer) {
	if server.running[poisonous] > 0 {
		fleet.crashed[server.name] = true
		fleet.crash(server)
		return
	}
	for fingerprint, count := range server.running {
		for range count {
			server.gate.Finish(fleet.now, fingerprint, true)
		}
	}
	server.running = map[poison.Fingerprint]int{}
}

// fault crashes server without a poisonous request.
func (fleet *fleet) fault(server *fleetServer) {
	if server.running[poisonous] > 0 {
		return
	}
	if len(server.running) == 1 {
		for fingerprint := range server.running {
			fleet.aloneInFault[fingerprint] = true
		}
	}
	fleet.crash(server)
}

func (fleet *fleet) gossip() {
	from := rapid.SampledFrom(fleet.servers).Draw(fleet.t, "from")
	to := rapid.SampledFrom(fleet.servers).Draw(fleet.t, "to")
	to.tracker.Merge(fleet.now, from.tracker.Snapshot())
}

func (fleet *fleet) check() {
	if len(fleet.crashed) > 2 {
		fleet.t.Fatalf("%d servers crashed by one fingerprint", len(fleet.crashed))
	}
	for i := range fleetInnocents {
		if fleet.aloneInFault[fingerprint(i)] {
			continue
		}
		for _, server := range fleet.servers {
			if verdict, is := server.tracker.Classify(fleet.now, fingerprint(i)).(poison.Quarantined); is {
				fleet.t.Fatalf("innocent %d is quarantined at %s: %v", i, server.name, verdict)
			}
		}
	}
}

// TestTwoServersAndNoInnocent sends a poisonous request repeatedly among innocent
// ones, while servers fail without cause and gossip may never arrive. It guards
// against the poisonous request crashing more than two servers, and against
// quarantines of innocent requests.
func TestTwoServersAndNoInnocent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(t)
		actions := map[string]func(*rapid.T){
			"": func(*rapid.T) { fleet.check() },
			"poison": func(*rapid.T) {
				fleet.send(poisonous)
			},
			"gossip": func(*rapid.T) { fleet.gossip() },
			"wait": func(t *rapid.T) {
				fleet.now = fleet.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			},
			"fault": func(t *rapid.T) { fleet.fault(rapid.SampledFrom(fleet.servers).Draw(t, "server")) },
		}
		for i := range 3 {
			actions[fmt.Sprint("innocent", i)] = func(t *rapid.T) {
				fleet.send(fingerprint(rapid.IntRange(0, fleetInnocents-1).Draw(t, "innocent")))
			}
			actions[fmt.Sprint("run", i)] = func(t *rapid.T) {
				fleet.run(rapid.SampledFrom(fleet.servers).Draw(t, "server"))
			}
		}
		t.Repeat(actions)
	})
}

// TestSecondCrashQuarantines crashes a first server with a poisonous request and
// a neighbour, and a second one with the poisonous request alone. The poisonous
// request must be quarantined on both, and the neighbour cleared.
func TestSecondCrashQuarantines(t *testing.T) {
	g := NewWithT(t)
	neighbour := fingerprint(1)
	first := poison.NewTracker(poison.Config{})
	second := poison.NewTracker(poison.Config{})
	gate := poison.NewGate(poison.GateConfig{Server: "a", Tracker: first})
	other := poison.NewGate(poison.GateConfig{Server: "b", Tracker: second})
	g.Expect(gate.Admit(start, poisonous)).To(Equal(poison.Admit{}))
	g.Expect(gate.Admit(start, neighbour)).To(Equal(poison.Admit{}))
	crash := gate.RecordCrash(start, "boot-1")
	g.Expect(gate.Admit(start, neighbour)).To(BeAssignableToTypeOf(poison.RefuseHere{}))

	g.Expect(second.Merge(start, poison.Snapshot{Crashes: []poison.Crash{crash}})).To(BeTrue())
	g.Expect(other.Admit(start, neighbour)).To(Equal(poison.Admit{Alone: true}))
	g.Expect(other.Admit(start, poisonous)).To(Equal(poison.Wait{Suspect: true}), "two suspects must not run together")
	g.Expect(other.Admit(start, fingerprint(2))).To(Equal(poison.Wait{}), "nothing else may run beside a suspect")
	other.Finish(start, neighbour, true)
	g.Expect(second.Classify(start, neighbour)).To(Equal(poison.Clear{}))

	g.Expect(other.Admit(start, poisonous)).To(Equal(poison.Admit{Alone: true}))
	other.RecordCrash(start.Add(time.Second), "boot-1")
	now := start.Add(time.Second)
	first.Merge(now, second.Snapshot())
	for _, gate := range []*poison.Gate{gate, other} {
		refuse, refuses := gate.Admit(now, poisonous).(poison.Refuse)
		g.Expect(refuses && refuse.Final).To(BeTrue())
		g.Expect(gate.Admit(now, neighbour)).To(Equal(poison.Admit{}))
		gate.Finish(now, neighbour, true)
	}
	g.Expect(first.Quarantines(now)).To(HaveKeyWithValue(poisonous, start.Add(poison.DefaultRetention)))
	g.Expect(first.Classify(start.Add(2*poison.DefaultRetention), poisonous)).To(Equal(poison.Clear{}), "the quarantine expires")
	first.Lift(now, poisonous)
	g.Expect(first.Classify(now, poisonous)).To(Equal(poison.Clear{}))
	second.Merge(now, first.Snapshot())
	g.Expect(second.Quarantines(now)).To(BeEmpty(), "the lift reaches other trackers")
}

// TestFailingServerIsNoEvidence guards against a quarantine for a crash of a
// server that also crashes with other requests.
func TestFailingServerIsNoEvidence(t *testing.T) {
	tables := []struct {
		name        string
		others      int
		quarantined bool
	}{
		{"a server that never failed before", 0, true},
		{"a server that fails by itself", 2, false},
	}
	for _, table := range tables {
		t.Run(table.name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := poison.NewTracker(poison.Config{})
			for i := range table.others {
				tracker.RecordCrash(start, poison.Crash{
					ID: poison.CrashID{Server: "bad", Boot: fmt.Sprint("other", i)}, At: start,
					Running: []poison.Fingerprint{fingerprint(i)},
				})
			}
			suspect := fingerprint(99)
			tracker.RecordCrash(start, poison.Crash{
				ID: poison.CrashID{Server: "a", Boot: "1"}, At: start, Running: []poison.Fingerprint{suspect, fingerprint(98)},
			})
			tracker.RecordCrash(start, poison.Crash{
				ID: poison.CrashID{Server: "bad", Boot: "1"}, At: start, Running: []poison.Fingerprint{suspect},
			})
			_, quarantined := tracker.Classify(start, suspect).(poison.Quarantined)
			g.Expect(quarantined).To(Equal(table.quarantined))
		})
	}
}

// TestRackIsNoEvidence ends many servers within seconds, as an outage of a rack
// does. A request that ran alone on two of them, as a retried request may, must not
// be quarantined.
func TestRackIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	tracker := poison.NewTracker(poison.Config{})
	suspect := fingerprint(99)
	for i := range 6 {
		running := []poison.Fingerprint{fingerprint(i)}
		if i < 2 {
			running = []poison.Fingerprint{suspect}
		}
		at := start.Add(time.Duration(i) * time.Second)
		tracker.RecordCrash(at, poison.Crash{
			ID: poison.CrashID{Server: names.BackendServer(fmt.Sprint(i)), Boot: "1"}, At: at, Running: running,
		})
	}
	g.Expect(tracker.Classify(start.Add(time.Minute), suspect)).To(BeAssignableToTypeOf(poison.Suspect{}))
}

func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var parts []poison.Snapshot
		for i := range rapid.IntRange(1, 6).Draw(t, "parts") {
			tracker := poison.NewTracker(poison.Config{})
			tracker.RecordCrash(start, poison.Crash{
				ID: poison.CrashID{Server: names.BackendServer(fmt.Sprint(i % 3)), Boot: fmt.Sprint(i)}, At: start,
				Running: []poison.Fingerprint{fingerprint(i % 2), fingerprint(i % 3)},
			})
			if rapid.Bool().Draw(t, "excused") {
				tracker.RecordCompletion(start, fingerprint(i%2))
			}
			parts = append(parts, tracker.Snapshot())
		}
		merged := func(order []poison.Snapshot) poison.Snapshot {
			tracker := poison.NewTracker(poison.Config{})
			for _, part := range order {
				tracker.Merge(start, part)
				tracker.Merge(start, part)
			}
			return tracker.Snapshot()
		}
		g.Expect(merged(rapid.Permutation(parts).Draw(t, "order"))).To(Equal(merged(parts)))
	})
}

func TestTrackerIsBounded(t *testing.T) {
	g := NewWithT(t)
	tracker := poison.NewTracker(poison.Config{MaxCrashes: 8})
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		tracker.RecordCrash(now, poison.Crash{
			ID: poison.CrashID{Server: "a", Boot: fmt.Sprint(i)}, At: now,
			Running: []poison.Fingerprint{fingerprint(i), fingerprint(i + 1)},
		})
		tracker.RecordCompletion(now, fingerprint(i))
	}
	snapshot := tracker.Snapshot()
	g.Expect(snapshot.Crashes).To(HaveLen(8))
	g.Expect(snapshot.Crashes[7].ID.Boot).To(Equal("99"))
	g.Expect(len(snapshot.Clearances)).To(BeNumerically("<=", 8*64))
}

func TestFingerprintText(t *testing.T) {
	g := NewWithT(t)
	parsed, err := poison.ParseFingerprint(poisonous.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed).To(Equal(poisonous))
	_, err = poison.ParseFingerprint("zz")
	g.Expect(err).To(HaveOccurred())
}
