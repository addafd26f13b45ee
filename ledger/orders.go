package ledger

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// noFence is the fence before every order.
var noFence engine.Fence

// reserveWanted reserves memory for wanted items in the target's order, up to the
// first that does not fit.
func (ledger *Ledger) reserveWanted() {
	if ledger.predecessor.active {
		return
	}
	reserved := ledger.weightBytes() + ledger.cacheBytes
	for _, weights := range ledger.target.Items {
		if _, found := ledger.reservations[weights.Item]; found {
			continue
		}
		if reserved+weights.Bytes > ledger.config.MemoryBytes {
			return
		}
		reserved += weights.Bytes
		ledger.reservations[weights.Item] = &reservation{weights: weights}
	}
}

// decideOrders emits the orders that are due.
func (ledger *Ledger) decideOrders(now time.Time) {
	ledger.decideRole(now)
	if !ledger.hasTarget() {
		return
	}
	// A report can add reservations that exceed the memory. Wanted items that are
	// not resident are then unloaded, to free their reservations.
	overcommitted := ledger.ReservedBytes() > ledger.config.MemoryBytes
	for _, reservation := range ledger.pendingReservations() {
		if ledger.wanted[reservation.weights.Item] && (reservation.resident || !overcommitted) {
			ledger.decideLoad(now, reservation)
		} else {
			ledger.decideUnload(now, reservation)
		}
	}
}

// pendingReservations returns the reservations that are not as the target wants
// them, in a fixed order.
func (ledger *Ledger) pendingReservations() []*reservation {
	var pending []*reservation
	for item, reservation := range ledger.reservations {
		if !reservation.resident || reservation.unloadFence != noFence || !ledger.wanted[item] {
			pending = append(pending, reservation)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		return pending[i].weights.Item.less(pending[j].weights.Item)
	})
	return pending
}

// decideRole orders the target's role. It also does so if the engine has that role
// already, while the agent needs a barrier against its predecessor or the engine
// has not reported an order of the agent's epoch.
func (ledger *Ledger) decideRole(now time.Time) {
	role := &ledger.role
	barrier := ledger.predecessor.needsOrder(now) || role.epochUnreported
	due := !now.Before(role.lastOrderAt.Add(ledger.config.RetryWait))
	if role.inFlight || !due || !barrier && role.reported == ledger.target.Role {
		return
	}
	role.inFlight, role.lastOrderAt = true, now
	fence := ledger.sendOrder(engine.ChangeRole{Role: ledger.target.Role})
	ledger.predecessor.orderSent(now, fence)
}

// decideLoad orders a load once the confirmed record names the item, no
// predecessor is active and, for an adapter, its model is usable. It clears
// unloadFence, because a load makes that proof invalid.
func (ledger *Ledger) decideLoad(now time.Time, reservation *reservation) {
	reservation.unloadFence = noFence
	item := reservation.weights.Item
	switch {
	case reservation.resident || reservation.loadsInFlight > 0 || !reservation.recorded || !ledger.orderDue(now, reservation):
		return
	case ledger.predecessor.active:
		return
	case item.Adapter != "" && !ledger.Usable(item.base()):
		return
	}
	reservation.loadsInFlight++
	reservation.ordered, reservation.lastOrderAt = true, now
	ledger.sendOrder(reservation.weights.loadAction())
}

// decideUnload orders an unload once no generation uses the item, those of a
// predecessor included, and no load of it is in flight. The first unload sent
// once no earlier load can arrive any more sets unloadFence: a report that
// includes this order and does not list the item proves that its memory is free.
func (ledger *Ledger) decideUnload(now time.Time, reservation *reservation) {
	item := reservation.weights.Item
	if ledger.predecessor.active || ledger.users[item] > 0 || reservation.loadsInFlight > 0 {
		return
	}
	loadsExpired := now.After(reservation.latestLoadArrival)
	firstUnload := loadsExpired && reservation.unloadFence == noFence
	if !firstUnload && !ledger.orderDue(now, reservation) {
		return
	}
	reservation.ordered, reservation.lastOrderAt = true, now
	reservation.latestUnloadArrival = now.Add(ledger.config.OrderLifetime)
	fence := ledger.sendOrder(item.unloadAction())
	if firstUnload {
		reservation.unloadFence = fence
	}
}

// orderDue reports whether an order for the item may be emitted at now: the first
// at once, another after RetryWait.
func (ledger *Ledger) orderDue(now time.Time, reservation *reservation) bool {
	return !reservation.ordered || !now.Before(reservation.lastOrderAt.Add(ledger.config.RetryWait))
}

// sendOrder emits an order for action and returns its fence.
func (ledger *Ledger) sendOrder(action engine.Action) engine.Fence {
	ledger.sequence++
	fence := engine.Fence{Epoch: ledger.record.epoch, Sequence: ledger.sequence}
	ledger.emit(SendOrder{Order: engine.Order{Fence: fence, Action: action}})
	return fence
}

// orderFinished handles the outcome of an order. Whatever the outcome, the order
// and duplicates of it can still reach the engine during the order lifetime.
func (ledger *Ledger) orderFinished(now time.Time, order engine.Order) {
	switch action := order.Action.(type) {
	case engine.LoadModel:
		ledger.loadFinished(now, Item{Model: action.Model})
	case engine.LoadAdapter:
		ledger.loadFinished(now, Item{Model: action.Model, Adapter: action.Adapter})
	case engine.ChangeRole:
		ledger.role.inFlight = false
	case engine.UnloadModel, engine.UnloadAdapter:
	}
}

func (ledger *Ledger) loadFinished(now time.Time, item Item) {
	reservation, found := ledger.reservations[item]
	if !found {
		return
	}
	reservation.loadsInFlight--
	reservation.latestLoadArrival = later(reservation.latestLoadArrival, now.Add(ledger.config.OrderLifetime))
}

// orderFenced handles the refusal of an order.
func (ledger *Ledger) orderFenced(fenced OrderFenced) {
	if fenced.Order.Fence.Epoch == ledger.record.epoch && ledger.phase == phaseHolding {
		ledger.reacquire(fenced.Seen.Epoch)
	}
}

// reacquire handles the engine's report of a higher epoch. Either another agent
// holds the engine, which the record will show, or the record was lost and the
// agent must acquire an epoch above the reported one.
func (ledger *Ledger) reacquire(epoch int64) {
	ledger.record.minEpoch = max(ledger.record.minEpoch, epoch+1)
	ledger.phase = phaseAcquiring
	ledger.record.known = false
}
