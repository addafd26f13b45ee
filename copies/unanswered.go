package copies

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/policy"
)

// lateOrderLifetime is how long after its last attempt an order without an answer may
// still arrive at its engine. Engines carry such orders out up to 12 s late.
const lateOrderLifetime = 14 * time.Second

// unansweredOrder is an order that an engine may still carry out. Within the incarnation
// that it was sent to it does no harm: the engine checks the count of accepted orders,
// and with that count its state has room for the order. The next incarnation, which
// counts from zero, may reach the same count with another state.
type unansweredOrder struct {
	order       Order
	accepted    int64
	incarnation int64
	address     string
	until       time.Time
	// former is set if the engine has restarted since, although the registry does not list
	// another incarnation yet.
	former bool
}

// recordRestart records that a report has a lower count than was known before, so that the
// engine has restarted. The mutex is held.
func (tracker *Tracker) recordRestart() {
	for index := range tracker.unanswered {
		tracker.unanswered[index].former = true
	}
}

// recordUnanswered records an attempt without an answer. The mutex is held.
func (tracker *Tracker) recordUnanswered(request OrderRequest, now time.Time) {
	tracker.unanswered = slices.DeleteFunc(tracker.unanswered, func(other unansweredOrder) bool {
		return !now.Before(other.until) || !other.former && other.order == request.Order && other.accepted == request.Accepted &&
			other.incarnation == request.Incarnation && other.address == request.Address
	})
	tracker.unanswered = append(tracker.unanswered, unansweredOrder{
		order: request.Order, accepted: request.Accepted, incarnation: request.Incarnation, address: request.Address, until: now.Add(lateOrderLifetime),
	})
}

// load is what models and adapters take of an engine.
type load struct {
	weightsMB float64
	adapters  int
}

// lateLoad returns what late orders to former incarnations may load once the engine has
// accepted count orders, and until when. After one of them the next count may match
// another one. The mutex is held.
func (tracker *Tracker) lateLoad(count int64, engine *policy.Engine, now time.Time) (load, time.Time) {
	sum, until := load{}, time.Time{}
	for ; ; count++ {
		most, found := load{}, false
		for _, late := range tracker.unanswered {
			if late.accepted != count || !now.Before(late.until) || !late.former && tracker.isIncarnation(late.incarnation, late.address) {
				continue
			}
			found = true
			if late.until.After(until) {
				until = late.until
			}
			switch {
			case late.order.Unload:
				// It may take nothing off, and lead to the count that another one expects.
			case late.order.Adapter != "":
				most.adapters = 1
			default:
				most.weightsMB = max(most.weightsMB, engine.Models[late.order.Model].WeightsMB)
			}
		}
		if !found {
			return sum, until
		}
		sum.weightsMB += most.weightsMB
		sum.adapters += most.adapters
	}
}

// roundingMB covers the rounding errors of sums of sizes.
const roundingMB = 0.001

// hasRoom reports whether the engine has room for its state after an order. That includes
// orders to former incarnations that may arrive then. If only those are in the way, until
// is when they have expired. The mutex is held.
func (tracker *Tracker) hasRoom(order Order, engine *policy.Engine, now time.Time) (fits bool, until time.Time) {
	late, until := tracker.lateLoad(tracker.ledger.accepted+1, engine, now)
	if order.Unload && until.IsZero() {
		return true, time.Time{}
	}
	after := load{adapters: len(tracker.ledger.adapters)}
	for _, model := range tracker.ledger.models {
		if !order.Unload || order.Adapter != "" || model != order.Model {
			after.weightsMB += engine.Models[model].WeightsMB
		}
	}
	switch {
	case order.Adapter != "" && order.Unload:
		after.adapters--
	case order.Adapter != "":
		after.adapters++
	case order.Unload:
		for _, adapter := range tracker.ledger.adapters {
			if adapter.Model == order.Model {
				after.adapters--
			}
		}
	case !slices.Contains(tracker.ledger.models, order.Model):
		after.weightsMB += engine.Models[order.Model].WeightsMB
	}
	room := load{weightsMB: engine.WeightsMB - adapterMemoryMB(engine), adapters: engine.AdapterSlots}
	if order.Adapter != "" {
		// An adapter adds no weights; whether the models fit was checked when they were loaded.
		room.weightsMB = max(room.weightsMB, after.weightsMB)
	}
	if order.Adapter == "" {
		room.adapters = max(room.adapters, after.adapters)
	}
	return after.weightsMB+late.weightsMB <= room.weightsMB+roundingMB && after.adapters+late.adapters <= room.adapters, until
}

// adapterMemoryMB returns the memory that an engine's adapters may use.
func adapterMemoryMB(engine *policy.Engine) float64 {
	largest := 0.0
	for _, model := range engine.Models {
		largest = max(largest, model.AdapterMB)
	}
	return largest * float64(engine.AdapterSlots)
}
