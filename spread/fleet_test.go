package spread_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/spread"
)

// fleet simulates instances in virtual time. It carries out the actions of their
// nodes over links and a platform's service that can be cut. Clocks differ in
// rate and start.
type fleet struct {
	now     time.Duration
	events  eventHeap
	order   int
	random  *rand.Rand
	peers   []spread.Peer
	members map[names.Instance]*member
	// followed is the peer that each instance followed last.
	followed map[names.Instance]names.Instance
	// latest is the version in the platform's service. acceptedAt is when each
	// version was accepted, negative if it has not been.
	latest     config.Version
	acceptedAt []time.Duration
	// storedAt is when the platform's service stored each version.
	storedAt []time.Duration
	// storeCut and linkCut report whether an instance cannot reach the platform's
	// service, and whether a link drops messages.
	storeCut func(names.Instance) bool
	linkCut  func(from, to names.Instance) bool
	// duplicate sends each message twice with different delays.
	duplicate bool
	// observe is called with a member after each of its steps.
	observe            func(member *member)
	reads, watchEvents int
}

type member struct {
	peer      spread.Peer
	node      *spread.Node
	rate      float64
	started   time.Duration
	watching  bool
	sentBytes int
	// frozen queues inputs in delayed, as for a process that is stopped.
	frozen  bool
	delayed []spread.Input
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (events eventHeap) Len() int { return len(events) }
func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}
func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *eventHeap) Push(x any)   { *events = append(*events, x.(event)) }
func (events *eventHeap) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

// newFleet starts size instances in each of domains failure domains. Each region
// has three failure domains.
func newFleet(domains, size int, seed uint64) *fleet {
	fleet := &fleet{
		random:     rand.New(rand.NewPCG(seed, 1)),
		members:    map[names.Instance]*member{},
		followed:   map[names.Instance]names.Instance{},
		acceptedAt: []time.Duration{0},
		storedAt:   []time.Duration{0},
		storeCut:   func(names.Instance) bool { return false },
		linkCut:    func(_, _ names.Instance) bool { return false },
		observe:    func(*member) {},
	}
	for domain := range domains {
		for i := range size {
			fleet.peers = append(fleet.peers, spread.Peer{
				Instance: names.Instance(fmt.Sprintf("d%d-%03d", domain, i)),
				Domain:   names.FailureDomain(fmt.Sprintf("d%d", domain)),
				Region:   names.Region(fmt.Sprintf("r%d", domain/3)),
			})
		}
	}
	for _, peer := range fleet.peers {
		fleet.start(peer)
	}
	return fleet
}

// start starts an instance that has no configuration.
func (fleet *fleet) start(peer spread.Peer) {
	started := &member{peer: peer, rate: 1, started: fleet.now}
	random := rand.New(rand.NewPCG(fleet.random.Uint64(), 2))
	started.node = spread.NewNode(spread.NodeConfig{Self: peer, Random: random})
	fleet.members[peer.Instance] = started
	fleet.step(started, spread.PeersChanged{Live: fleet.peers})
	fleet.schedule(time.Duration(fleet.random.Int64N(int64(spread.TickPeriod))), func() { fleet.tick(started) })
}

// restart replaces an instance by one with another name. The other instances see
// the change after 2 s.
func (fleet *fleet) restart(instance names.Instance) {
	index := slices.IndexFunc(fleet.peers, func(peer spread.Peer) bool { return peer.Instance == instance })
	rate := fleet.members[instance].rate
	delete(fleet.members, instance)
	fleet.peers = slices.Clone(fleet.peers)
	fleet.peers[index].Instance += "+"
	fleet.start(fleet.peers[index])
	fleet.members[fleet.peers[index].Instance].rate = rate
	fleet.schedule(2*time.Second, func() {
		for _, peer := range fleet.peers {
			fleet.step(fleet.members[peer.Instance], spread.PeersChanged{Live: fleet.peers})
		}
	})
}

func (fleet *fleet) tick(member *member) {
	if fleet.members[member.peer.Instance] != member {
		return
	}
	fleet.step(member, spread.Tick{})
	fleet.schedule(spread.TickPeriod, func() { fleet.tick(member) })
}

// localTime returns the time on the member's own clock.
func (fleet *fleet) localTime(member *member) time.Duration {
	return time.Duration(float64(fleet.now-member.started) * member.rate)
}

// schedule runs a function after a wait.
func (fleet *fleet) schedule(wait time.Duration, run func()) {
	fleet.order++
	heap.Push(&fleet.events, event{at: fleet.now + wait, order: fleet.order, run: run})
}

func (fleet *fleet) run(span time.Duration) {
	end := fleet.now + span
	for len(fleet.events) > 0 && fleet.events[0].at <= end {
		next := heap.Pop(&fleet.events).(event)
		fleet.now = next.at
		next.run()
	}
	fleet.now = end
}

func (fleet *fleet) step(member *member, input spread.Input) {
	if fleet.members[member.peer.Instance] != member {
		return
	}
	if member.frozen {
		member.delayed = append(member.delayed, input)
		return
	}
	actions := member.node.Step(fleet.localTime(member), input)
	fleet.observe(member)
	for _, action := range actions {
		fleet.perform(member, action)
	}
}

// freeze stops a member for a span. It then handles the inputs received meanwhile.
func (fleet *fleet) freeze(member *member, span time.Duration) {
	member.frozen = true
	fleet.schedule(span, func() {
		member.frozen = false
		// The process may admit requests before it handles any input.
		fleet.observe(member)
		delayed := member.delayed
		member.delayed = nil
		for _, input := range delayed {
			fleet.step(member, input)
		}
	})
}

func (fleet *fleet) delay(from, to spread.Peer) time.Duration {
	base := 5 * time.Millisecond
	if from.Region != to.Region {
		base = 40 * time.Millisecond
	}
	return base + time.Duration(fleet.random.Int64N(int64(base)))
}

// send delivers an input to another instance after a delay, unless the link is
// cut.
func (fleet *fleet) send(from *member, to names.Instance, bytes int, input func(to *member) spread.Input) {
	from.sentBytes += bytes
	target := fleet.members[to]
	copies := 1
	if fleet.duplicate {
		copies = 2
	}
	for range copies {
		if target == nil || fleet.linkCut(from.peer.Instance, to) {
			continue
		}
		fleet.schedule(fleet.delay(from.peer, target.peer), func() {
			if fleet.members[to] == target {
				fleet.step(target, input(target))
			}
		})
	}
}

// Sizes of messages on the wire in bytes, with HTTP/2 and TCP framing, and the
// delay of a call to the platform's service.
const (
	frameBytes    = 5 + 9 + 66
	anchorBytes   = frameBytes + 40
	exchangeBytes = 300
	updateBytes   = 2*frameBytes + 500
	storeDelay    = 4 * time.Millisecond
)

func newsBytes(news spread.News) int { return frameBytes + 24 + 16*len(news.Outages) }

func (fleet *fleet) perform(member *member, action spread.Action) {
	self := member.peer.Instance
	switch action := action.(type) {
	case spread.ReadStore:
		fleet.readStore(member, action.SentAt)
	case spread.WatchStore:
		member.watching = action.On
	case spread.Fetch:
		fleet.fetch(member, action)
	case spread.Follow:
		fleet.followed[self] = action.Peer
	case spread.Unfollow:
		fleet.send(member, action.Peer, frameBytes, input(spread.FollowerLeft{Follower: self}))
	case spread.SendAnchor:
		fleet.send(member, action.Peer, anchorBytes, input(spread.AnchorReceived{
			Follower: self, AnchorMicros: action.Anchor.Microseconds(), Version: action.Version, VersionCounts: action.VersionCounts,
		}))
	case spread.SendNews:
		anchor := time.Duration(action.AnchorMicros) * time.Microsecond
		fleet.send(member, action.Follower, newsBytes(action.News), input(spread.NewsReceived{From: self, Anchor: anchor, News: action.News}))
	case spread.DropFollower:
		fleet.send(member, action.Follower, frameBytes, input(spread.FollowEnded{Peer: self}))
	case spread.Exchange:
		fleet.exchange(member, action)
	}
}

func input(input spread.Input) func(*member) spread.Input {
	return func(*member) spread.Input { return input }
}

func (fleet *fleet) exchange(from *member, action spread.Exchange) {
	self := from.peer.Instance
	version := from.node.InForce()
	fleet.send(from, action.Peer, exchangeBytes, func(to *member) spread.Input {
		news := to.node.News(fleet.localTime(to))
		fleet.send(to, self, exchangeBytes, input(spread.NewsReceived{From: action.Peer, Anchor: action.Anchor, News: news}))
		return spread.VersionReported{From: self, Version: version}
	})
}

func (fleet *fleet) readStore(member *member, sentAt time.Duration) {
	fleet.reads++
	if fleet.storeCut(member.peer.Instance) {
		fleet.schedule(spread.ReadTimeout, func() { fleet.step(member, spread.StoreRead{SentAt: sentAt}) })
		return
	}
	fleet.schedule(storeDelay/2, func() {
		version := fleet.latest
		fleet.schedule(storeDelay/2, func() { fleet.step(member, spread.StoreRead{SentAt: sentAt, Reached: true, Version: version}) })
	})
}

func (fleet *fleet) fetch(member *member, action spread.Fetch) {
	if action.Peer == "" {
		fleet.reads += 2
		ok, version := !fleet.storeCut(member.peer.Instance), fleet.latest
		fleet.schedule(2*storeDelay, func() { fleet.step(member, spread.Fetched{OK: ok, Version: version}) })
		return
	}
	from, self := fleet.members[action.Peer], member.peer.Instance
	if from == nil || fleet.linkCut(self, action.Peer) || fleet.linkCut(action.Peer, self) {
		fleet.schedule(time.Second, func() { fleet.step(member, spread.Fetched{}) })
		return
	}
	from.sentBytes += updateBytes
	version := from.node.InForce()
	fleet.schedule(4*fleet.delay(member.peer, from.peer), func() {
		fleet.step(member, spread.Fetched{OK: true, Version: version})
	})
}

// accept has an instance store a change of the configuration, and returns false
// if it cannot. The change counts as accepted once all relays of a failure domain
// know of it.
func (fleet *fleet) accept(writer names.Instance) bool {
	if fleet.storeCut(writer) || fleet.members[writer].frozen {
		return false
	}
	fleet.latest++
	fleet.acceptedAt = append(fleet.acceptedAt, -1)
	fleet.storedAt = append(fleet.storedAt, fleet.now)
	version, author := fleet.latest, fleet.members[writer]
	fleet.notify(version)
	fleet.step(author, spread.Fetched{OK: true, Version: version})
	announcement := spread.NewAnnouncement(author.node.Relays())
	acknowledge := func(relay names.Instance) {
		if announcement.Acknowledge(relay) && fleet.acceptedAt[version] < 0 {
			fleet.acceptedAt[version] = fleet.now
		}
	}
	for _, relay := range author.node.Relays() {
		if relay.Instance == writer {
			acknowledge(writer)
			continue
		}
		fleet.send(author, relay.Instance, frameBytes, func(to *member) spread.Input {
			if to.frozen {
				return spread.VersionReported{From: writer, Version: version}
			}
			// The acknowledgement arrives without delay. The sooner a change counts as
			// accepted, the stricter the check of freshness.
			acknowledge(relay.Instance)
			return spread.VersionReported{From: writer, Version: version}
		})
	}
	return true
}

// notify completes the watches on the platform's service.
func (fleet *fleet) notify(version config.Version) {
	for _, peer := range fleet.peers {
		member := fleet.members[peer.Instance]
		if member == nil || !member.watching || fleet.storeCut(peer.Instance) {
			continue
		}
		fleet.watchEvents++
		sentAt := max(0, fleet.localTime(member)-10*time.Second)
		fleet.schedule(storeDelay, func() { fleet.step(member, spread.StoreRead{SentAt: sentAt, Reached: true, Version: version}) })
	}
}

// admitsStale reports whether a member considers its configuration fresh although
// a later version was accepted longer ago than the bound for withdrawals.
func (fleet *fleet) admitsStale(member *member) bool {
	const bound = 5 * time.Second
	if !member.node.Fresh(fleet.localTime(member)) {
		return false
	}
	for _, accepted := range fleet.acceptedAt[member.node.InForce()+1:] {
		if accepted >= 0 && fleet.now-accepted > bound {
			return true
		}
	}
	return false
}
