package quota

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

const (
	oneWay      = 5 * time.Millisecond
	simWarmUp   = 30 * time.Second
	simLength   = 90 * time.Second
	simTakeover = 13 * time.Second
	// frameBytes is the size of the HTTP/2, TCP and IP headers of a message.
	frameBytes  = 100
	simPatience = 250 * time.Millisecond
	// pausedWaits is added to the number of waits of a request that has paused.
	pausedWaits = 1000
)

// simEvent is one event of a simulation.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap of events by time, and by insertion at equal times.
type events []simEvent

func (events events) Len() int      { return len(events) }
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events events) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}
func (events *events) Push(item any) { *events = append(*events, item.(simEvent)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// fault is the fault that is injected at the end of the warm-up.
type fault int

const (
	noFault fault = iota
	homeDies
	storeDown
	homeDiesInOutage
)

func (fault fault) String() string {
	return [...]string{"noFault", "homeDies", "storeDown", "homeDiesInOutage"}[fault]
}

// scheme is a way to enforce limits that the benchmark compares. It calls done
// at the time of the decision; settle returns a reservation's unused tokens.
type scheme interface {
	reserve(arrival arrival, done func(settle func(unused call.Tokens), ok bool))
}

// sim simulates one scheme under one load.
type sim struct {
	now            time.Duration
	events         events
	lastOrder      int
	entries        int
	traffic        traffic
	fault          fault
	ideal          []*bucket
	oracles        []oracle
	messages       int
	bytes          int
	waited         int
	paused         int
	sentBy         []int
	offered        int
	wronglyRefused int
	// wronglyRefusedBy and offeredBy count requests by account after the warm-up.
	// A refusal is wrong if the ideal bucket admitted the request.
	wronglyRefusedBy []int
	offeredBy        []int
	// fewerBy is how many more requests the ideal bucket admitted, by account.
	fewerBy        []int
	refusedByIdeal int
}

func newSim(entries int, traffic traffic, fault fault) *sim {
	sim := &sim{entries: entries, traffic: traffic, fault: fault, sentBy: make([]int, entries), oracles: make([]oracle, len(traffic.limits))}
	sim.wronglyRefusedBy, sim.offeredBy = make([]int, len(traffic.limits)), make([]int, len(traffic.limits))
	sim.fewerBy = make([]int, len(traffic.limits))
	for account, limit := range traffic.limits {
		sim.ideal = append(sim.ideal, newBucket(limit))
		sim.oracles[account].limit = limit
	}
	return sim
}

func (sim *sim) after(wait time.Duration, run func()) {
	sim.lastOrder++
	heap.Push(&sim.events, simEvent{at: sim.now + wait, order: sim.lastOrder, run: run})
}

func (sim *sim) clock() time.Time { return time.Unix(1e6, 0).Add(sim.now) }

func (sim *sim) run(scheme scheme) {
	for _, arrival := range sim.traffic.arrivals {
		for len(sim.events) > 0 && sim.events[0].at <= arrival.at {
			next := heap.Pop(&sim.events).(simEvent)
			sim.now = next.at
			next.run()
		}
		sim.now = arrival.at
		sim.offer(scheme, arrival)
	}
}

// offer submits a request to the scheme and to the ideal bucket.
func (sim *sim) offer(scheme scheme, arrival arrival) {
	counted := sim.now >= simWarmUp
	stamp, inside := sim.ideal[arrival.account].take(sim.now, reserved)
	if inside {
		sim.after(arrival.duration, func() { sim.ideal[arrival.account].refund(sim.now, stamp, reserved-arrival.used) })
	}
	counted = counted && arrival.account != overSender
	if counted {
		if inside {
			sim.fewerBy[arrival.account]++
		} else {
			sim.refusedByIdeal++
		}
		sim.offered++
		sim.offeredBy[arrival.account]++
	}
	scheme.reserve(arrival, func(settle func(call.Tokens), ok bool) {
		if !ok {
			if counted && inside {
				sim.wronglyRefused++
				sim.wronglyRefusedBy[arrival.account]++
			}
			return
		}
		if counted {
			sim.fewerBy[arrival.account]--
		}
		admitted := sim.oracles[arrival.account].admit(sim.now, reserved)
		sim.after(arrival.duration, func() {
			admitted.tokens = arrival.used
			settle(reserved - arrival.used)
		})
	})
}

func (sim *sim) message(from, bytes int) {
	if sim.now >= simWarmUp {
		sim.sentBy[from] += bytes + frameBytes
		sim.messages++
		sim.bytes += bytes + frameBytes
	}
}

// report reports the metrics of a run.
func (sim *sim) report(b *testing.B) {
	excess, worst := 0.0, 0.0
	for account := range sim.oracles {
		excess = max(excess, sim.oracles[account].excess())
		if sim.offeredBy[account] > 0 {
			worst = max(worst, float64(sim.wronglyRefusedBy[account])/float64(sim.offeredBy[account]))
		}
	}
	issued := 0.0
	for _, admitted := range sim.oracles[overSender].admissions {
		if admitted.at >= simWarmUp {
			issued += float64(admitted.tokens)
		}
	}
	measured := (simLength - simWarmUp).Seconds()
	allowed := measured * float64(sim.traffic.limits[overSender].Rate)
	b.ReportMetric(100*float64(sim.wronglyRefused)/float64(sim.offered), "wrong_%")
	fewer := 0
	for _, count := range sim.fewerBy {
		fewer += max(0, count)
	}
	b.ReportMetric(100*float64(fewer)/float64(sim.offered), "fewer_%")
	b.ReportMetric(100*float64(sim.refusedByIdeal)/float64(sim.offered), "outside_%")
	b.ReportMetric(100*worst, "worstAccount_%")
	b.ReportMetric(max(0, excess), "tokensAbove")
	b.ReportMetric(100*issued/allowed, "overSender_%")
	b.ReportMetric(float64(sim.messages)/measured/float64(sim.entries), "msg/s/inst")
	b.ReportMetric(float64(sim.bytes)/measured/float64(sim.entries), "B/s/inst")
	b.ReportMetric(float64(slices.Max(sim.sentBy))/measured, "mostB/s")
	b.ReportMetric(100*float64(sim.paused)/float64(len(sim.traffic.arrivals)), "paused_%")
	b.ReportMetric(100*float64(sim.waited)/float64(len(sim.traffic.arrivals)), "waited_%")
}

// evenSplit is the scheme that gives each entry an equal part of every bucket.
type evenSplit struct {
	sim     *sim
	buckets map[[2]int]*bucket
}

func (evenSplit *evenSplit) reserve(arrival arrival, done func(func(call.Tokens), bool)) {
	sim := evenSplit.sim
	key := [2]int{arrival.entry, arrival.account}
	own, ok := evenSplit.buckets[key]
	if !ok {
		limit := sim.traffic.limits[arrival.account]
		parts := call.Tokens(sim.entries)
		own = newBucket(Limit{Rate: limit.Rate / call.TokenRate(parts), Burst: limit.Burst / parts})
		evenSplit.buckets[key] = own
	}
	stamp, ok := own.take(sim.now, reserved)
	done(func(unused call.Tokens) { own.refund(sim.now, stamp, unused) }, ok)
}

// oneHome is the scheme in which one instance per account, its home, decides on
// each request. The home's lease depends on the platform's service alone.
type oneHome struct {
	sim     *sim
	buckets []*bucket
	emptied bool
}

// lost reports whether the home of an account is unavailable. Entry 0 is the one
// that dies. Without the platform's service every home is lost once its lease
// expires.
func (oneHome *oneHome) lost(account int) bool {
	since := oneHome.sim.now - simWarmUp
	mine := account%oneHome.sim.entries == 0
	switch oneHome.sim.fault {
	case homeDies:
		return mine && since >= 0 && since < simTakeover
	case storeDown, homeDiesInOutage:
		return since >= SeatLeaseLength || since >= 0 && mine && oneHome.sim.fault == homeDiesInOutage
	default:
		return false
	}
}

func (oneHome *oneHome) reserve(arrival arrival, done func(func(call.Tokens), bool)) {
	sim := oneHome.sim
	if !oneHome.emptied && sim.fault == homeDies && sim.now >= simWarmUp+simTakeover {
		oneHome.emptied = true
		for account, bucket := range oneHome.buckets {
			if account%sim.entries == 0 {
				bucket.level, bucket.filled = 0, sim.now
			}
		}
	}
	home := arrival.account % sim.entries
	sim.waited++
	sim.message(arrival.entry, 40)
	sim.after(oneWay, func() {
		if oneHome.lost(arrival.account) {
			done(nil, false)
			return
		}
		stamp, ok := oneHome.buckets[arrival.account].take(sim.now, reserved)
		sim.message(home, 20)
		sim.after(oneWay, func() {
			done(func(unused call.Tokens) {
				sim.message(arrival.entry, 40)
				sim.message(home, 20)
				oneHome.buckets[arrival.account].refund(sim.now, stamp, unused)
			}, ok)
		})
	})
}

// escrow is the scheme of this package: it runs the decision code of borrowers
// and lenders.
type escrow struct {
	sim      *sim
	names    []names.ClientAccount
	index    map[names.ClientAccount]int
	balances map[[2]int]*simBalance
	// order lists the balances in a fixed order, unlike the map.
	order   []*simBalance
	lenders [Shards][Seats]*Lender
	dead    [Shards][Seats]bool
}

type simBalance struct {
	*Balance
	entry   int
	account int
	shard   int
	near    int
	waiters []func()
}

func newEscrow(sim *sim) *escrow {
	escrow := &escrow{sim: sim, index: map[names.ClientAccount]int{}, balances: map[[2]int]*simBalance{}}
	for account := range sim.traffic.limits {
		name := names.ClientAccount(fmt.Sprintf("account-%d", account))
		escrow.names = append(escrow.names, name)
		escrow.index[name] = account
	}
	for shard := range Shards {
		for seat := range Seats {
			escrow.lenders[shard][seat] = NewLender(LenderConfig{Start: sim.clock().Add(-time.Hour), Epoch: 1})
		}
	}
	sim.after(FlushPeriod, escrow.flush)
	sim.after(simWarmUp, escrow.fail)
	return escrow
}

// Limit implements [Limits].
func (escrow *escrow) Limit(account names.ClientAccount) (Limit, bool) {
	return escrow.sim.traffic.limits[escrow.index[account]], true
}

// holder returns the entry that holds a seat.
func (escrow *escrow) holder(shard, seat int) int { return (shard*Seats + seat) % escrow.sim.entries }

// fail removes the instance that holds the first seat of the most loaded
// account, with all its seats.
func (escrow *escrow) fail() {
	if escrow.sim.fault == noFault || escrow.sim.fault == storeDown {
		return
	}
	victim := escrow.holder(ShardOf(escrow.names[0]), 0)
	for shard := range Shards {
		for seat := range Seats {
			if escrow.holder(shard, seat) == victim {
				escrow.dead[shard][seat] = true
			}
		}
	}
	if escrow.sim.fault == homeDiesInOutage {
		return
	}
	escrow.sim.after(simTakeover, func() {
		for shard := range Shards {
			for seat := range Seats {
				if escrow.dead[shard][seat] {
					escrow.dead[shard][seat] = false
					escrow.lenders[shard][seat] = NewLender(LenderConfig{Start: escrow.sim.clock(), Epoch: 2})
				}
			}
		}
	})
}

func (escrow *escrow) balance(arrival arrival) *simBalance {
	key := [2]int{arrival.entry, arrival.account}
	if known, ok := escrow.balances[key]; ok {
		return known
	}
	near := arrival.entry % Seats
	opened := &simBalance{
		Balance: NewBalance(BalanceConfig{Account: escrow.names[arrival.account], NearSeat: near, MaxPause: simPatience}),
		entry:   arrival.entry, account: arrival.account, shard: ShardOf(escrow.names[arrival.account]), near: near,
	}
	escrow.balances[key] = opened
	escrow.order = append(escrow.order, opened)
	return opened
}

func (escrow *escrow) reserve(arrival arrival, done func(func(call.Tokens), bool)) {
	balance := escrow.balance(arrival)
	if parts, ok := balance.Spend(escrow.sim.clock(), reserved); ok {
		escrow.admit(balance, parts, done)
		return
	}
	escrow.sim.waited++
	balance.AddWaiting(reserved)
	escrow.attempt(balance, &AskedSeats{}, 0, func(parts []Part, ok bool) {
		balance.AddWaiting(-reserved)
		if ok {
			escrow.admit(balance, parts, done)
			return
		}
		done(nil, false)
	})
}

func (escrow *escrow) admit(balance *simBalance, parts []Part, done func(func(call.Tokens), bool)) {
	done(func(unused call.Tokens) { balance.Settle(escrow.sim.clock(), parts, unused) }, true)
}

// attempt performs the steps of [Client.borrow] as separate events.
func (escrow *escrow) attempt(balance *simBalance, askedSeats *AskedSeats, waits int, done func([]Part, bool)) {
	now := escrow.sim.clock()
	if parts, ok := balance.Spend(now, reserved); ok {
		done(parts, true)
		return
	}
	seat, partial, ok := balance.NextSeat(now, *askedSeats)
	if !ok {
		escrow.pause(balance, askedSeats, waits, done)
		return
	}
	if balance.InFlight(seat) && waits%pausedWaits < maxWaits {
		balance.waiters = append(balance.waiters, func() { escrow.attempt(balance, askedSeats, waits+1, done) })
		return
	}
	askedSeats.Add(seat, partial)
	if balance.InFlight(seat) {
		escrow.attempt(balance, askedSeats, waits, done)
		return
	}
	pendingAsk := balance.Borrow(now, seat, partial)
	balance.waiters = append(balance.waiters, func() { escrow.attempt(balance, askedSeats, waits, done) })
	escrow.send(balance.entry, balance.shard, seat, []*simBalance{balance}, []PendingAsk{pendingAsk})
}

// pause waits once before a refusal, as [Client.borrow] does.
func (escrow *escrow) pause(balance *simBalance, askedSeats *AskedSeats, waits int, done func([]Part, bool)) {
	now, limit := escrow.sim.clock(), escrow.sim.traffic.limits[balance.account]
	wait, worth := balance.Pause(now, reserved, limit)
	if !worth || waits >= pausedWaits {
		balance.NoteRefusal(now)
		done(nil, false)
		return
	}
	escrow.sim.paused++
	escrow.sim.after(wait, func() { escrow.attempt(balance, &AskedSeats{}, waits+pausedWaits, done) })
}

// send simulates one exchange. Entries that hold the seat themselves need no
// message.
func (escrow *escrow) send(entry, shard, seat int, balances []*simBalance, pendingAsks []PendingAsk) {
	sim := escrow.sim
	exchange := Exchange{Borrower: names.Instance(fmt.Sprintf("instance-%d", entry)), Shard: shard, Seat: seat}
	for _, pendingAsk := range pendingAsks {
		exchange.Asks = append(exchange.Asks, pendingAsk.Ask)
	}
	delay := oneWay
	local := escrow.holder(shard, seat) == entry
	if local {
		delay = 0
	} else {
		sim.message(entry, proto.Size(encodeExchange(exchange)))
	}
	if escrow.dead[shard][seat] {
		sim.after(defaultExchangeTimeout, func() { escrow.deliver(balances, pendingAsks, Answer{}) })
		return
	}
	sim.after(delay, func() {
		grants, held := escrow.lenders[shard][seat].Exchange(sim.clock(), sim.clock().Add(SeatLeaseLength), exchange.Borrower, exchange.Asks, escrow)
		answer := Answer{Held: held, Grants: grants}
		if !local {
			sim.message(escrow.holder(shard, seat), proto.Size(encodeAnswer(answer)))
		}
		sim.after(delay, func() { escrow.deliver(balances, pendingAsks, answer) })
	})
}

func (escrow *escrow) deliver(balances []*simBalance, pendingAsks []PendingAsk, answer Answer) {
	now := escrow.sim.clock()
	for i, balance := range balances {
		if answer.Held && len(answer.Grants) == len(balances) {
			balance.ApplyGrant(now, pendingAsks[i], answer.Grants[i], escrow.sim.traffic.limits[balance.account])
		} else {
			balance.NoteFailure(now, pendingAsks[i])
		}
		waiters := balance.waiters
		balance.waiters = nil
		for _, retry := range waiters {
			retry()
		}
	}
}

// flush performs [Client.Flush] at every entry and the lenders' ticks.
func (escrow *escrow) flush() {
	now := escrow.sim.clock()
	type target struct{ entry, shard, seat int }
	type group struct {
		balances    []*simBalance
		pendingAsks []PendingAsk
	}
	groups := map[target]*group{}
	var targets []target
	kept := escrow.order[:0]
	for _, balance := range escrow.order {
		if balance.Idle(now) {
			delete(escrow.balances, [2]int{balance.entry, balance.account})
			continue
		}
		kept = append(kept, balance)
		for _, pendingAsk := range balance.Flush(now) {
			key := target{entry: balance.entry, shard: balance.shard, seat: pendingAsk.Seat}
			if groups[key] == nil {
				groups[key] = &group{}
				targets = append(targets, key)
			}
			groups[key].balances = append(groups[key].balances, balance)
			groups[key].pendingAsks = append(groups[key].pendingAsks, pendingAsk)
		}
	}
	escrow.order = kept
	for _, key := range targets {
		escrow.send(key.entry, key.shard, key.seat, groups[key].balances, groups[key].pendingAsks)
	}
	for shard := range Shards {
		for seat := range Seats {
			escrow.lenders[shard][seat].Tick(now, escrow)
		}
	}
	escrow.sim.after(FlushPeriod, escrow.flush)
}

// BenchmarkCompare compares the schemes in virtual time. The time per operation
// is that of the simulation and says nothing about the schemes.
func BenchmarkCompare(b *testing.B) {
	sizes := []struct {
		entries   int
		accounts  int
		perSecond float64
	}{
		{entries: 3, accounts: 5, perSecond: 60},
		{entries: 3, accounts: 1000, perSecond: 600},
		{entries: 400, accounts: 5, perSecond: 5400},
		{entries: 400, accounts: 1000, perSecond: 5400},
	}
	schemes := []struct {
		name  string
		build func(*sim) scheme
	}{
		{name: "evenSplit", build: func(sim *sim) scheme { return &evenSplit{sim: sim, buckets: map[[2]int]*bucket{}} }},
		{name: "oneHome", build: func(sim *sim) scheme {
			return &oneHome{sim: sim, buckets: newSim(sim.entries, sim.traffic, sim.fault).ideal}
		}},
		{name: "escrow", build: func(sim *sim) scheme { return newEscrow(sim) }},
	}
	for _, size := range sizes {
		load := newTraffic(size.entries, size.accounts, size.perSecond, simLength)
		for _, fault := range []fault{noFault, homeDies, storeDown, homeDiesInOutage} {
			for _, scheme := range schemes {
				name := fmt.Sprintf("entries=%d/accounts=%d/%s/%s", size.entries, size.accounts, fault, scheme.name)
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						sim := newSim(size.entries, load, fault)
						sim.run(scheme.build(sim))
						sim.report(b)
					}
				})
			}
		}
	}
}
