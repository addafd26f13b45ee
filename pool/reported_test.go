package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

const (
	// plainSlots to plainPeakFactor are the figures of a deployment's plain servers.
	plainServers    = 4
	plainEntries    = 26
	plainSlots      = 6
	plainQueue      = 3 * plainSlots
	plainWork       = 60 * time.Millisecond
	plainObjective  = 300 * time.Millisecond
	plainPerSecond  = 130
	plainPeakFactor = 2.5
	plainSlowFactor = 2.5
	plainSlowTime   = 600 * time.Millisecond
	plainSlowShare  = 0.15
	plainLatency    = 3 * time.Millisecond
	maxPlainSends   = 3
)

// plainRequest is a request to plain servers.
type plainRequest struct {
	entry  int
	began  time.Time
	left   time.Duration
	tried  []names.BackendServer
	server *plainServer
	sentAt time.Time
}

// plainServer is a simulated plain server with slots and a queue.
type plainServer struct {
	server    *pool.Server
	running   []*plainRequest
	waiting   []*plainRequest
	slowUntil time.Time
	fastUntil time.Time
}

// plainEvent is something that happens at a time.
type plainEvent struct {
	at     time.Time
	happen func()
}

// plainSimulation simulates callers, entries that exchange their loads every
// exchangePeriod, and plain servers that are slow at times.
type plainSimulation struct {
	random   *rand.Rand
	entries  []*pool.Pool
	reports  []map[names.BackendServer]int
	servers  []*plainServer
	events   []plainEvent
	now      time.Time
	reported bool
	// served, missed and refused count requests; refusals counts those by servers' queues
	// while another server had room.
	served, missed, refused, refusals int
}

func newPlainSimulation(seed uint64, reported bool) *plainSimulation {
	simulation := &plainSimulation{random: rand.New(rand.NewPCG(seed, 7)), now: epoch, reported: reported}
	choices := rand.New(rand.NewPCG(seed, 8))
	for index := range plainServers {
		server := &pool.Server{
			ID: names.BackendServer(fmt.Sprintf("p%d", index)), Service: "desk", Address: "10.0.0.1:80",
			Domain: names.FailureDomain([]string{"a", "b"}[index%2]), Slots: plainSlots, Incarnation: 1,
		}
		simulation.servers = append(simulation.servers, &plainServer{server: server, fastUntil: epoch})
	}
	for range plainEntries {
		entry := pool.New(pool.Config{RegistryPeriod: time.Second, Random: choices.Float64})
		for _, each := range simulation.servers {
			entry.Put(each.server)
		}
		simulation.entries = append(simulation.entries, entry)
		simulation.reports = append(simulation.reports, map[names.BackendServer]int{})
	}
	return simulation
}

func (simulation *plainSimulation) after(delay time.Duration, happen func()) {
	simulation.events = append(simulation.events, plainEvent{at: simulation.now.Add(delay), happen: happen})
}

// run simulates for a time. A quarter of it is at the peak rate.
func (simulation *plainSimulation) run(duration time.Duration) {
	const tick = time.Millisecond
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		simulation.now = epoch.Add(elapsed)
		due := []plainEvent{}
		simulation.events = slices.DeleteFunc(simulation.events, func(event plainEvent) bool {
			if event.at.After(simulation.now) {
				return false
			}
			due = append(due, event)
			return true
		})
		for _, event := range due {
			event.happen()
		}
		for _, server := range simulation.servers {
			simulation.step(server, tick)
		}
		for index := range simulation.entries {
			if (elapsed/tick+time.Duration(index*9))%(exchangePeriod/tick) == 0 {
				simulation.exchange(index)
			}
		}
		rate := float64(plainPerSecond)
		if elapsed%(8*time.Second) >= 6*time.Second {
			rate *= plainPeakFactor
		}
		for expected := simulation.random.ExpFloat64(); expected < rate*tick.Seconds(); expected += simulation.random.ExpFloat64() {
			work := plainWork/2 + time.Duration(simulation.random.ExpFloat64()*float64(plainWork/2))
			simulation.send(&plainRequest{entry: simulation.random.IntN(plainEntries), began: simulation.now, left: work})
		}
	}
}

func (simulation *plainSimulation) exchange(index int) {
	simulation.reports[index] = simulation.entries[index].OwnRequests()
	asked := simulation.now
	others := map[names.BackendServer]int{}
	for other, report := range simulation.reports {
		if other == index {
			continue
		}
		for id, count := range report {
			others[id] += count
		}
	}
	simulation.after(2*plainLatency, func() {
		simulation.entries[index].ApplyUpdate(pool.Update{Others: others, Until: asked.Add(time.Second)})
	})
}

// send sends a request to the server that its entry picks.
func (simulation *plainSimulation) send(request *plainRequest) {
	entry := simulation.entries[request.entry]
	domain := names.FailureDomain([]string{"a", "b"}[request.entry%2])
	query := pool.Query{Service: "desk", Domain: domain, Tried: request.tried, Reported: simulation.reported}
	choice, chosen := entry.Pick(query, simulation.now).(pool.Chosen)
	if !chosen || len(request.tried) >= maxPlainSends {
		simulation.refused++
		return
	}
	for _, server := range simulation.servers {
		if server.server == choice.Server {
			request.server = server
		}
	}
	request.sentAt = simulation.now
	entry.StartRequest(choice.Server.ID, 0, simulation.now)
	simulation.after(plainLatency, func() { simulation.arrive(request) })
}

// arrive queues a request at its server, or refuses it.
func (simulation *plainSimulation) arrive(request *plainRequest) {
	server := request.server
	if len(server.waiting) < plainQueue {
		server.waiting = append(server.waiting, request)
		return
	}
	if slices.ContainsFunc(simulation.servers, func(other *plainServer) bool { return len(other.running)+len(other.waiting) < plainSlots }) {
		simulation.refusals++
	}
	simulation.answer(request, func() {
		request.tried = append(request.tried, server.server.ID)
		simulation.send(request)
	})
}

// answer delivers a response with the load of its server.
func (simulation *plainSimulation) answer(request *plainRequest, delivered func()) {
	server := request.server
	load := pool.InstanceLoad{Running: len(server.running), Waiting: len(server.waiting), Pace: 1}
	if server.slowUntil.After(simulation.now) {
		load.Pace = plainSlowFactor
	}
	simulation.after(plainLatency, func() {
		entry := simulation.entries[request.entry]
		entry.RecordBytes(server.server.ID, request.sentAt, simulation.now)
		entry.RecordLoad(server.server, load, simulation.now)
		entry.EndRequest(server.server.ID)
		delivered()
	})
}

// step advances the requests that a server runs.
func (simulation *plainSimulation) step(server *plainServer, tick time.Duration) {
	if !server.slowUntil.After(simulation.now) && !server.fastUntil.After(simulation.now) {
		if server.fastUntil.After(server.slowUntil) {
			server.slowUntil = simulation.now.Add(plainSlowTime)
		} else {
			fast := float64(plainSlowTime) * (1 - plainSlowShare) / plainSlowShare
			server.fastUntil = simulation.now.Add(time.Duration(simulation.random.ExpFloat64() * fast))
		}
	}
	progress := tick
	if server.slowUntil.After(simulation.now) {
		progress = time.Duration(float64(tick) / plainSlowFactor)
	}
	server.running = slices.DeleteFunc(server.running, func(request *plainRequest) bool {
		request.left -= progress
		if request.left > 0 {
			return false
		}
		simulation.answer(request, func() {
			simulation.served++
			if simulation.now.Sub(request.began) > plainObjective {
				simulation.missed++
			}
		})
		return true
	})
	for len(server.running) < plainSlots && len(server.waiting) > 0 {
		server.running = append(server.running, server.waiting[0])
		server.waiting = server.waiting[1:]
	}
}

// TestReportedLoadsSpreadRequests simulates the load of a deployment's plain servers with
// and without the loads that they state. It guards against choices that overload a server
// while others have room. Both simulations have the same callers and slow servers.
func TestReportedLoadsSpreadRequests(t *testing.T) {
	const maxMissedRatio, maxRefusalsRatio = 0.7, 0.1
	g := NewWithT(t)
	simulate := func(reported bool) (missed, refusals float64) {
		served, refused := 0, 0
		for seed := range uint64(8) {
			simulation := newPlainSimulation(seed, reported)
			simulation.run(24 * time.Second)
			served, refused = served+simulation.served, refused+simulation.refused
			missed, refusals = missed+float64(simulation.missed), refusals+float64(simulation.refusals)
		}
		t.Logf("reported %v: served %d, missed %.4f, refused %d, refused by a queue while another server had room %.0f", reported, served, missed/float64(served), refused, refusals)
		return missed, refusals
	}
	missedBefore, refusalsBefore := simulate(false)
	missed, refusals := simulate(true)
	g.Expect(missed).To(BeNumerically("<", maxMissedRatio*missedBefore))
	g.Expect(refusals).To(BeNumerically("<", maxRefusalsRatio*refusalsBefore))
}

// TestReportedLoadsCountForATime guards against loads that are out of date, of another
// incarnation or not asked for, and against a server that hides requests that it has.
func TestReportedLoadsCountForATime(t *testing.T) {
	plain := func(id names.BackendServer) *pool.Server {
		return &pool.Server{ID: id, Service: "desk", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Incarnation: 2}
	}
	busy := pool.InstanceLoad{Running: 4, Waiting: 3, Pace: 1}
	cases := []struct {
		name   string
		load   pool.InstanceLoad
		record func(of *pool.Server)
		// own is the number of this instance's requests at the server.
		own     int
		others  map[names.BackendServer]int
		ignored bool
		at      time.Duration
		want    string
	}{
		{name: "a busy server", load: busy, want: "p2"},
		{name: "a slow server", load: pool.InstanceLoad{Pace: 2.5}, want: "p2"},
		{name: "an idle server that others were said to use", load: pool.InstanceLoad{Pace: 1}, others: map[names.BackendServer]int{"p1": 3, "p2": 2}, want: "p1"},
		{name: "an idle server with requests of this instance", load: pool.InstanceLoad{Pace: 1}, own: 3, others: map[names.BackendServer]int{"p2": 2}, want: "p2"},
		{name: "a second ago", load: busy, at: 1001 * time.Millisecond, want: "p1"},
		{name: "a slow server 0.3 s ago", load: pool.InstanceLoad{Pace: 2.5}, at: 300 * time.Millisecond, want: "p2"},
		{name: "a slow server 0.6 s ago", load: pool.InstanceLoad{Pace: 2.5}, at: 600 * time.Millisecond, want: "p1"},
		{name: "another incarnation", load: busy, record: func(of *pool.Server) { of.Incarnation = 1 }, want: "p1"},
		{name: "an unknown server", load: busy, record: func(of *pool.Server) { of.ID = "p9" }, want: "p1"},
		{name: "a query for which it does not count", load: busy, ignored: true, want: "p1"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			servers := newPool(plain("p1"), plain("p2"))
			servers.ApplyUpdate(pool.Update{Others: each.others, Until: at(time.Minute)})
			if each.others == nil {
				// Without reports the first one is slightly less loaded.
				servers.ApplyUpdate(pool.Update{Others: map[names.BackendServer]int{"p2": 1}, Until: at(time.Minute)})
			}
			for range each.own {
				servers.StartRequest("p1", 0, epoch)
			}
			from := plain("p1")
			if each.record != nil {
				each.record(from)
			}
			servers.RecordLoad(from, each.load, epoch)
			query := pool.Query{Service: "desk", Domain: "a", Reported: !each.ignored}
			g.Expect(picked(servers, query, at(each.at))).To(Equal(each.want))
		})
	}
}
