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
	fleetServers   = 6
	fleetInnocents = 12
	fleetHold      = 10 * time.Second
	fleetMemory    = time.Hour
)

var start = time.Unix(1_000_000, 0)

func fingerprint(i int) poison.Fingerprint {
	return poison.NewFingerprint("account", "model", []byte(fmt.Sprint(i)))
}

// poisonous is the fingerprint that crashes each server; the others are innocent.
var poisonous = fingerprint(-1)

type fleetServer struct {
	name    names.BackendServer
	book    *poison.Book
	gate    *poison.Gate
	boot    int
	running map[poison.Fingerprint]int
}

// fleet is a set of agents with a book each, which gossip at random.
type fleet struct {
	t       *rapid.T
	now     time.Time
	servers []*fleetServer
	names   []names.BackendServer
	lost    map[names.BackendServer]bool
	// aloneInFault holds innocents that ran alone when a server failed by itself.
	aloneInFault map[poison.Fingerprint]bool
}

func newFleet(t *rapid.T) *fleet {
	fleet := &fleet{
		t: t, now: start, lost: map[names.BackendServer]bool{}, aloneInFault: map[poison.Fingerprint]bool{},
	}
	for i := range fleetServers {
		name := names.BackendServer(fmt.Sprintf("server-%d", i))
		book := poison.NewBook(poison.Config{Memory: fleetMemory, Hold: fleetHold})
		fleet.names = append(fleet.names, name)
		fleet.servers = append(fleet.servers, &fleetServer{
			name: name, book: book, gate: poison.NewGate(poison.GateConfig{Server: name, Book: book}),
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

// send runs fingerprint at one of its servers, as an entry does that knows nothing.
func (fleet *fleet) send(fingerprint poison.Fingerprint) {
	candidates := poison.Candidates(fingerprint, fleet.names)
	server := fleet.server(rapid.SampledFrom(candidates).Draw(fleet.t, "server"))
	fleet.enter(server, fingerprint)
}

func (fleet *fleet) enter(server *fleetServer, fingerprint poison.Fingerprint) {
	if _, enters := server.gate.Enter(fleet.now, fingerprint).(poison.Enter); enters {
		server.running[fingerprint]++
	}
}

// crash ends server and retries what it ran at the other candidate, which the
// retry tells of the crash.
func (fleet *fleet) crash(server *fleetServer) {
	ran := server.running
	server.running = map[poison.Fingerprint]int{}
	server.boot++
	crash := server.gate.Crashed(fleet.now, fmt.Sprint(server.boot))
	for fingerprint := range ran {
		for _, name := range poison.Candidates(fingerprint, fleet.names) {
			other := fleet.server(name)
			if other == server || !rapid.Bool().Draw(fleet.t, "retry") {
				continue
			}
			other.book.Merge(fleet.now, poison.Snapshot{Crashes: []poison.Crash{crash}})
			fleet.enter(other, fingerprint)
		}
	}
}

// run ends what runs at server: by a crash if the poison is there.
func (fleet *fleet) run(server *fleetServer) {
	if server.running[poisonous] > 0 {
		fleet.lost[server.name] = true
		fleet.crash(server)
		return
	}
	for fingerprint, count := range server.running {
		for range count {
			server.gate.Leave(fleet.now, fingerprint, true)
		}
	}
	server.running = map[poison.Fingerprint]int{}
}

// fault ends server without cause.
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
	to.book.Merge(fleet.now, from.book.Exchange())
}

func (fleet *fleet) check() {
	if len(fleet.lost) > 2 {
		fleet.t.Fatalf("%d servers lost to one fingerprint", len(fleet.lost))
	}
	for i := range fleetInnocents {
		if fleet.aloneInFault[fingerprint(i)] {
			continue
		}
		for _, server := range fleet.servers {
			if verdict, is := server.book.Judge(fleet.now, fingerprint(i)).(poison.Quarantined); is {
				fleet.t.Fatalf("innocent %d is quarantined at %s: %v", i, server.name, verdict)
			}
		}
	}
}

// TestTwoServersAndNoInnocent lets a poisonous request come again and again
// among innocent ones, with faulty servers and gossip that may never come.
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

// TestSecondCrashQuarantines follows a poisonous request and its neighbour as
// the news travels with the retry.
func TestSecondCrashQuarantines(t *testing.T) {
	g := NewWithT(t)
	neighbour := fingerprint(1)
	first := poison.NewBook(poison.Config{})
	second := poison.NewBook(poison.Config{})
	gate := poison.NewGate(poison.GateConfig{Server: "a", Book: first})
	other := poison.NewGate(poison.GateConfig{Server: "b", Book: second})
	g.Expect(gate.Enter(start, poisonous)).To(Equal(poison.Enter{}))
	g.Expect(gate.Enter(start, neighbour)).To(Equal(poison.Enter{}))
	crash := gate.Crashed(start, "boot-1")
	g.Expect(gate.Enter(start, neighbour)).To(BeAssignableToTypeOf(poison.Elsewhere{}))

	g.Expect(second.Merge(start, poison.Snapshot{Crashes: []poison.Crash{crash}})).To(BeTrue())
	g.Expect(other.Enter(start, neighbour)).To(Equal(poison.Enter{Alone: true}))
	g.Expect(other.Enter(start, poisonous)).To(Equal(poison.Wait{Suspect: true}), "two suspects do not run together")
	g.Expect(other.Enter(start, fingerprint(2))).To(Equal(poison.Wait{}), "nothing joins a suspect")
	other.Leave(start, neighbour, true)
	g.Expect(second.Judge(start, neighbour)).To(Equal(poison.Clear{}))

	g.Expect(other.Enter(start, poisonous)).To(Equal(poison.Enter{Alone: true}))
	other.Crashed(start.Add(time.Second), "boot-1")
	now := start.Add(time.Second)
	first.Merge(now, second.Exchange())
	for _, gate := range []*poison.Gate{gate, other} {
		refuse, refuses := gate.Enter(now, poisonous).(poison.Refuse)
		g.Expect(refuses && refuse.Final).To(BeTrue())
		g.Expect(gate.Enter(now, neighbour)).To(Equal(poison.Enter{}))
		gate.Leave(now, neighbour, true)
	}
	g.Expect(first.Quarantines(now)).To(HaveKeyWithValue(poisonous, start.Add(poison.DefaultMemory)))
	g.Expect(first.Judge(start.Add(2*poison.DefaultMemory), poisonous)).To(Equal(poison.Clear{}), "it ends by itself")
	first.Lift(now, poisonous)
	g.Expect(first.Judge(now, poisonous)).To(Equal(poison.Clear{}))
	second.Merge(now, first.Exchange())
	g.Expect(second.Quarantines(now)).To(BeEmpty(), "lifted everywhere")
}

// TestFailingServerIsNoEvidence crashes one server again and again with other
// requests; one that was alone there is not quarantined for it.
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
			book := poison.NewBook(poison.Config{})
			for i := range table.others {
				book.Crashed(start, poison.Crash{
					ID: poison.CrashID{Server: "bad", Boot: fmt.Sprint("other", i)}, At: start,
					Running: []poison.Fingerprint{fingerprint(i)},
				})
			}
			suspect := fingerprint(99)
			book.Crashed(start, poison.Crash{
				ID: poison.CrashID{Server: "a", Boot: "1"}, At: start, Running: []poison.Fingerprint{suspect, fingerprint(98)},
			})
			book.Crashed(start, poison.Crash{
				ID: poison.CrashID{Server: "bad", Boot: "1"}, At: start, Running: []poison.Fingerprint{suspect},
			})
			_, quarantined := book.Judge(start, suspect).(poison.Quarantined)
			g.Expect(quarantined).To(Equal(table.quarantined))
		})
	}
}

// TestRackIsNoEvidence ends many servers at once; a request that was retried
// from one to another is not quarantined for it.
func TestRackIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	book := poison.NewBook(poison.Config{})
	suspect := fingerprint(99)
	for i := range 6 {
		running := []poison.Fingerprint{fingerprint(i)}
		if i < 2 {
			running = []poison.Fingerprint{suspect}
		}
		at := start.Add(time.Duration(i) * time.Second)
		book.Crashed(at, poison.Crash{
			ID: poison.CrashID{Server: names.BackendServer(fmt.Sprint(i)), Boot: "1"}, At: at, Running: running,
		})
	}
	g.Expect(book.Judge(start.Add(time.Minute), suspect)).To(BeAssignableToTypeOf(poison.Suspect{}))
}

func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var parts []poison.Snapshot
		for i := range rapid.IntRange(1, 6).Draw(t, "parts") {
			book := poison.NewBook(poison.Config{})
			book.Crashed(start, poison.Crash{
				ID: poison.CrashID{Server: names.BackendServer(fmt.Sprint(i % 3)), Boot: fmt.Sprint(i)}, At: start,
				Running: []poison.Fingerprint{fingerprint(i % 2), fingerprint(i % 3)},
			})
			if rapid.Bool().Draw(t, "excused") {
				book.Completed(start, fingerprint(i%2))
			}
			parts = append(parts, book.Exchange())
		}
		merged := func(order []poison.Snapshot) poison.Snapshot {
			book := poison.NewBook(poison.Config{})
			for _, part := range order {
				book.Merge(start, part)
				book.Merge(start, part)
			}
			return book.Exchange()
		}
		g.Expect(merged(rapid.Permutation(parts).Draw(t, "order"))).To(Equal(merged(parts)))
	})
}

func TestBookIsBounded(t *testing.T) {
	g := NewWithT(t)
	book := poison.NewBook(poison.Config{MaxCrashes: 8})
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		book.Crashed(now, poison.Crash{
			ID: poison.CrashID{Server: "a", Boot: fmt.Sprint(i)}, At: now,
			Running: []poison.Fingerprint{fingerprint(i), fingerprint(i + 1)},
		})
		book.Completed(now, fingerprint(i))
	}
	snapshot := book.Exchange()
	g.Expect(snapshot.Crashes).To(HaveLen(8))
	g.Expect(snapshot.Crashes[7].ID.Boot).To(Equal("99"))
	g.Expect(len(snapshot.Excuses)).To(BeNumerically("<=", 8*64))
}

func TestFingerprintText(t *testing.T) {
	g := NewWithT(t)
	parsed, err := poison.ParseFingerprint(poisonous.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed).To(Equal(poisonous))
	_, err = poison.ParseFingerprint("zz")
	g.Expect(err).To(HaveOccurred())
}
