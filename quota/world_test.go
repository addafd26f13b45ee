package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

const fuzzAccount = names.ClientAccount("account")

// chooseFunc returns a chosen number in [0, n).
type chooseFunc func(n int) int

// world simulates several instances that run the decision code on one account.
// It has a true time, a clock per instance that may drift from it, and a queue of
// messages that are delivered in chosen order.
type world struct {
	choose    chooseFunc
	switches  Switches
	now       time.Duration
	nodes     []*node
	namesUsed int
	queue     []message
	oracle    oracle
	// limit is the limit in force, which instances learn of later.
	limit Limit

	records           map[int]Record
	revision          store.Revision
	storeDown         bool
	highLoad          bool
	profile           profile
	running           []*request
	takes             int
	mostOvercommitted float64
}

// message is a function to run at node once chosen, unless node has been replaced
// by then.
type message struct {
	node *node
	run  func()
}

// request is a reservation that is not settled.
type request struct {
	node     *node
	parts    []Part
	tokens   call.Tokens
	admitted *admission
	// ends is the true time at which the request may be settled.
	ends time.Duration
}

// node is one instance, both borrower and holder.
type node struct {
	world        *world
	name         names.Instance
	clockRate    float64
	clockOffset  time.Duration
	paused       bool
	isolated     bool
	limit        Limit
	lastMaintain time.Time
	lastFlush    time.Time
	dead         bool
	balance      *Balance
	seats        [Seats]nodeSeat
	holders      [Seats]names.Instance
}

type nodeSeat struct {
	lease    *SeatLease
	lender   *Lender
	takeover *Takeover
}

func newWorld(choose chooseFunc, switches Switches, profile profile) *world {
	world := &world{
		choose:   choose,
		switches: switches,
		limit:    Limit{Rate: profile.rate, Burst: 300},
		profile:  profile,
		records:  map[int]Record{},
	}
	world.oracle.limit = world.limit
	for range fuzzNodes {
		world.nodes = append(world.nodes, world.newNode())
	}
	for seat := range Seats {
		world.assignFullSeat(world.nodes[seat%fuzzNodes], seat)
	}
	return world
}

func (world *world) newNode() *node {
	world.namesUsed++
	drift := []float64{1 - ClockDrift, 1, 1 + ClockDrift}[world.choose(3)]
	return &node{
		world:       world,
		name:        names.Instance(fmt.Sprintf("instance%d", world.namesUsed)),
		clockRate:   drift,
		limit:       world.limit,
		clockOffset: time.Duration(world.choose(100)) * time.Hour,
		balance:     NewBalance(BalanceConfig{Account: fuzzAccount, NearSeat: world.choose(Seats), Switches: world.switches}),
	}
}

// assignFullSeat makes node the first holder of seat, with a lender that has had
// time to fill.
func (world *world) assignFullSeat(node *node, seat int) {
	world.revision++
	record := NewRecord(RecordConfig{Seat: seat, Epoch: 1, Holder: node.name}).withRevision(world.revision)
	world.records[seat] = record
	node.open(seat, record, node.clock().Add(-time.Hour))
	node.seats[seat].lease.Renew(record, node.clock(), nil)
}

// Limit implements [Limits] with the limit that the node has learned of.
func (node *node) Limit(names.ClientAccount) (Limit, bool) { return node.limit, true }

// overcommitted returns the most tokens by which the lenders and borrowers of a
// seat together exceed its capacity.
func (world *world) overcommitted() float64 {
	_, capacity := world.oracle.limit.portion()
	most := 0.0
	for index := range Seats {
		held := 0.0
		for _, node := range world.nodes {
			held += float64(node.balance.credits[index].spendable(node.clock())) + node.level(index)
		}
		most = max(most, held-capacity)
	}
	return most
}

// level returns how many tokens the node could lend from a seat now.
func (node *node) level(index int) float64 {
	seat := node.seats[index]
	if seat.lease == nil || !seat.lease.Valid(node.clock()) && !node.world.switches.NoFence {
		return 0
	}
	portion, ok := seat.lender.portions[fuzzAccount]
	if !ok {
		return 0
	}
	rate, capacity := portion.limit.portion()
	level := portion.level + rate*(1-ClockDrift)*node.clock().Sub(portion.refilledAt).Seconds()
	return max(0, min(level, capacity-float64(portion.outstanding)))
}

// clock reads the node's own clock.
func (node *node) clock() time.Time {
	return time.Unix(0, 0).Add(node.clockOffset + time.Duration(float64(node.world.now)*node.clockRate))
}

func (world *world) post(node *node, run func()) {
	world.queue = append(world.queue, message{node: node, run: run})
}

// deliver runs one queued message. If lossy, it chooses the message, and may lose
// or duplicate it.
func (world *world) deliver(lossy bool) {
	var ready []int
	for index, message := range world.queue {
		if !message.node.paused {
			ready = append(ready, index)
		}
	}
	if len(ready) == 0 {
		return
	}
	index := ready[0]
	if lossy {
		index = ready[world.choose(len(ready))]
	}
	chosen := world.queue[index]
	doubled := lossy && world.choose(8) == 0
	lost := lossy && world.choose(8) == 0
	if !doubled {
		world.queue = append(world.queue[:index], world.queue[index+1:]...)
	}
	if !lost && !chosen.node.dead {
		chosen.run()
	}
}

// lookup returns the running node called name, or nil.
func (world *world) lookup(name names.Instance) *node {
	for _, node := range world.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

func (node *node) reserve(tokens call.Tokens) {
	world := node.world
	parts, ok := node.balance.Spend(node.clock(), tokens)
	if ok {
		world.takes++
		world.running = append(world.running, &request{node: node, parts: parts, tokens: tokens, admitted: world.oracle.admit(world.now, tokens), ends: world.now + world.duration()})
		return
	}
	seat := world.choose(Seats)
	if node.balance.InFlight(seat) {
		return
	}
	node.balance.AddWaiting(tokens)
	pendingAsk := node.balance.Borrow(node.clock(), seat, world.choose(2) == 0)
	node.balance.AddWaiting(-tokens)
	node.send(pendingAsk)
}

func (world *world) duration() time.Duration {
	duration := time.Duration(world.choose(20)) * time.Second
	if world.profile.longRequests {
		duration += 10 * time.Second
	}
	return duration
}

func (world *world) settle() {
	index := slices.IndexFunc(world.running, func(request *request) bool { return request.ends <= world.now })
	if index < 0 {
		return
	}
	request := world.running[index]
	world.running = slices.Delete(world.running, index, index+1)
	if request.node.dead {
		return
	}
	unused := request.tokens * call.Tokens(world.choose(3)) / 2
	if world.profile.longRequests {
		unused = request.tokens
	}
	request.admitted.tokens -= unused
	request.node.balance.Settle(request.node.clock(), request.parts, unused)
}

// send sends an ask to the seat's holder, according to a record that may be out
// of date.
func (node *node) send(pendingAsk PendingAsk) {
	world := node.world
	holder := world.lookup(node.holders[pendingAsk.Seat])
	if holder == nil || world.choose(4) == 0 {
		node.holders[pendingAsk.Seat] = world.records[pendingAsk.Seat].Holder()
		holder = world.lookup(node.holders[pendingAsk.Seat])
	}
	if holder == nil {
		node.balance.NoteFailure(node.clock(), pendingAsk)
		return
	}
	world.post(holder, func() {
		seat := &holder.seats[pendingAsk.Seat]
		if seat.lease == nil {
			world.post(node, func() { node.balance.NoteFailure(node.clock(), pendingAsk) })
			return
		}
		grants, held := seat.lender.Exchange(holder.clock(), seat.lease.Until(), node.name, []Ask{pendingAsk.Ask}, holder)
		world.post(node, func() {
			if held && len(grants) == 1 {
				node.balance.ApplyGrant(node.clock(), pendingAsk, grants[0], node.limit)
			} else {
				node.balance.NoteFailure(node.clock(), pendingAsk)
			}
		})
	})
}

// timeOut fails the asks in progress, as a deadline would.
func (node *node) timeOut() {
	for seat, credit := range node.balance.credits {
		if credit.pendingSequence != 0 {
			node.balance.NoteFailure(node.clock(), PendingAsk{Seat: seat, sequence: credit.pendingSequence})
		}
	}
}

func (node *node) flush() {
	for _, pendingAsk := range node.balance.Flush(node.clock()) {
		node.send(pendingAsk)
	}
}

func (node *node) tick() {
	for seat := range node.seats {
		if lender := node.seats[seat].lender; lender != nil {
			lender.Tick(node.clock(), node)
		}
	}
}

func (node *node) open(seat int, record Record, start time.Time) {
	node.seats[seat] = nodeSeat{
		lease:  NewSeatLease(SeatLeaseConfig{Record: record, Switches: node.world.switches}),
		lender: NewLender(LenderConfig{Start: start, Epoch: record.Epoch(), Switches: node.world.switches}),
	}
}

// crash replaces a node with a new one.
func (world *world) crash(index int) {
	world.nodes[index].dead = true
	world.nodes[index].paused = false
	world.nodes[index] = world.newNode()
}

// maintain does for one seat what [Keeper] does, with each step as a message.
func (node *node) maintain(seat int) {
	world := node.world
	if world.storeDown || node.isolated {
		node.renewByVote(seat)
		return
	}
	var records []Record
	for index := range Seats {
		if record, ok := world.records[index]; ok {
			records = append(records, record)
		}
	}
	world.post(node, func() {
		record, _ := findRecord(records, seat)
		held := &node.seats[seat]
		if held.lease != nil && record.Holder() != node.name {
			*held = nodeSeat{}
		}
		if record.Holder() == node.name {
			if held.lease == nil {
				node.open(seat, record, node.clock())
			}
			sentAt := node.clock()
			node.swap(seat, record.Revision(), record.next(), func(written Record) {
				if held.lease != nil && held.lease.Record().Epoch() == written.Epoch() {
					held.lease.Renew(written, sentAt, records)
				}
			})
			return
		}
		node.tryTakeover(seat, records)
	})
}

func (node *node) tryTakeover(seat int, records []Record) {
	held := &node.seats[seat]
	if held.takeover == nil {
		held.takeover = NewTakeover(TakeoverConfig{Seat: seat, Self: node.name, Switches: node.world.switches})
	}
	takeover := held.takeover
	takeover.Observe(node.clock(), records)
	if takeover.Ready(node.clock()) {
		sentAt := node.clock()
		node.swap(seat, takeover.Record().Revision(), takeover.Claim(""), func(written Record) {
			if held.lease != nil {
				return
			}
			node.open(seat, written, sentAt)
			held.lease.Renew(written, sentAt, records)
		})
		return
	}
	for _, each := range takeover.VoteRequests(node.clock()) {
		node.vote(each.Voter, each.Vote, func(time.Time) { takeover.AddPromise(node.clock(), each.Voter, each.Vote) })
	}
	for _, suspect := range takeover.Suspects(node.clock()) {
		if node.world.lookup(suspect.Holder()) == nil && node.world.choose(2) == 0 {
			takeover.AddEnded(node.clock(), suspect)
		}
	}
}

// swap queues a write, which takes effect if the record's revision still is expected.
func (node *node) swap(seat int, expected store.Revision, record Record, done func(Record)) {
	world := node.world
	world.post(node, func() {
		if world.storeDown || node.isolated || world.records[seat].Revision() != expected {
			return
		}
		world.revision++
		written := record.withRevision(world.revision)
		world.records[seat] = written
		world.post(node, func() { done(written) })
	})
}

func (node *node) renewByVote(seat int) {
	seatLease := node.seats[seat].lease
	if seatLease == nil {
		return
	}
	for _, voter := range seatLease.Voters() {
		vote := seatLease.NewVote(voter)
		node.vote(voter, vote, func(sentAt time.Time) { seatLease.Confirm(vote.Revision, sentAt) })
	}
}

func (node *node) vote(voter Record, vote Vote, done func(sentAt time.Time)) {
	sentAt := node.clock()
	holder := node.world.lookup(voter.Holder())
	if holder == nil {
		return
	}
	node.world.post(holder, func() {
		seatLease := holder.seats[vote.Voter].lease
		if seatLease != nil && seatLease.CastVote(holder.clock(), vote) {
			node.world.post(node, func() { done(sentAt) })
		}
	})
}
