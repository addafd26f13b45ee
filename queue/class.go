package queue

import (
	"math"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// kindCount is one more than the highest kind.
const kindCount = int(call.KindBatch) + 1

const (
	// quantum is how much more work for its weight an account may have had than
	// the one with the least and still go by deadline, in mean costs.
	quantum = 0.5
	// costSmoothing is the weight of the newest cost in the mean.
	costSmoothing = 0.05
	// usageHalfLife is the age at which work counts half in an account's usage.
	usageHalfLife = 10 * time.Second
	// underservedRatio is how much more work than a light account others had.
	underservedRatio = 1.2
	// maxScaleExponent bounds the scale of usage.
	maxScaleExponent = 500
	// idleTimeout is how long an account that asks for nothing is remembered.
	idleTimeout = 6 * usageHalfLife
)

// class shares its part of the server among client accounts: of the waiting
// accounts that have had the least work for their weight, within a quantum, the
// one with the earliest rank goes next. The virtual clock is the least work for
// its weight that a waiting account has had; it only rises, and an account that
// comes back starts from it.
type class struct {
	flows map[names.ClientAccount]*flow
	// eligible holds waiting shares within the quantum, by earliest rank.
	eligible heap[*flow]
	// ahead holds the other waiting shares, by work had.
	ahead heap[*flow]
	// waiting holds the shares of both, by work had.
	waiting heap[*flow]
	// idle holds shares with nothing waiting, by when they came to rest.
	idle heap[*flow]
	// byBacklog holds waiting shares, the largest backlog for its weight first.
	byBacklog heap[*flow]
	// byUsage holds waiting shares, the one with the most recent work for its
	// weight first.
	byUsage       heap[*flow]
	expiry        heap[*request]
	virtualTime   float64
	waitingWeight float64
	// totalUsage and known are the usage and weight of all remembered shares together.
	totalUsage  float64
	totalWeight float64
	// usageOrigin is where the scale of usage is one.
	usageOrigin time.Time
	meanCost    float64
	backlog     [kindCount]float64
	count       int
	bytes       int64
}

func newClass() *class {
	place := func(flow *flow, position int) { flow.position = position }
	byServed := func(left, right *flow) bool { return left.served < right.served }
	return &class{
		flows: map[names.ClientAccount]*flow{},
		eligible: heap[*flow]{
			less: func(left, right *flow) bool {
				return earlier(left.requests.top(), right.requests.top())
			},
			place: place,
		},
		ahead: heap[*flow]{less: byServed, place: place},
		waiting: heap[*flow]{
			less:  byServed,
			place: func(flow *flow, position int) { flow.waitingPosition = position },
		},
		idle: heap[*flow]{
			less:  func(left, right *flow) bool { return left.lastAdmitted.Before(right.lastAdmitted) },
			place: place,
		},
		byUsage: heap[*flow]{
			less:  func(left, right *flow) bool { return left.relativeUsage() > right.relativeUsage() },
			place: func(flow *flow, position int) { flow.usagePosition = position },
		},
		byBacklog: heap[*flow]{
			less:  func(left, right *flow) bool { return left.relativeBacklog() > right.relativeBacklog() },
			place: func(flow *flow, position int) { flow.backlogPosition = position },
		},
		expiry: heap[*request]{
			less:  expiresEarlier,
			place: func(request *request, position int) { request.expiryPosition = position },
		},
	}
}

// flow returns the account's share and brings its weight up to date.
func (class *class) flow(account names.ClientAccount, weight float64) *flow {
	found, ok := class.flows[account]
	if !ok {
		found = newFlow(account, weight)
		found.served = class.virtualTime
		class.flows[account] = found
		class.totalWeight += weight
		class.reinsert(found)
		return found
	}
	if found.weight != weight {
		class.totalWeight += weight - found.weight
		if !found.idle() {
			class.waitingWeight += weight - found.weight
		}
		found.weight = weight
		if found.backlogPosition != absent {
			class.byBacklog.fix(found.backlogPosition)
		}
	}
	return found
}

func (class *class) add(request *request) {
	flow := request.flow
	if flow.idle() {
		flow.served = max(flow.served, class.virtualTime)
		class.waitingWeight += flow.weight
	}
	flow.requests.push(request)
	flow.backlog[request.item.Kind] += request.cost
	flow.bytes += request.item.Bytes
	class.backlog[request.item.Kind] += request.cost
	class.bytes += request.item.Bytes
	class.count++
	if !request.due.IsZero() {
		class.expiry.push(request)
	}
	class.reinsert(flow)
}

// remove takes a waiting request out.
func (class *class) remove(request *request) {
	flow := request.flow
	class.detach(flow)
	flow.requests.remove(request.flowPosition)
	flow.backlog[request.item.Kind] -= request.cost
	flow.bytes -= request.item.Bytes
	class.backlog[request.item.Kind] -= request.cost
	class.bytes -= request.item.Bytes
	class.count--
	if request.expiryPosition != absent {
		class.expiry.remove(request.expiryPosition)
	}
	if flow.idle() {
		flow.backlog = [kindCount]float64{}
		class.waitingWeight -= flow.weight
	}
	class.reinsert(flow)
	if class.count == 0 {
		class.waitingWeight = 0
		class.backlog = [kindCount]float64{}
	}
}

// next returns the request that goes next without taking it out, or nil.
func (class *class) next() *request {
	if class.count == 0 {
		return nil
	}
	class.virtualTime = max(class.virtualTime, class.waiting.top().served)
	for class.ahead.len() > 0 && class.ahead.top().served <= class.eligibleLimit() {
		class.reinsert(class.ahead.top())
	}
	return class.eligible.top().requests.top()
}

// eligibleLimit is the most work for its weight that an eligible account has had.
func (class *class) eligibleLimit() float64 {
	if class.waitingWeight <= 0 {
		return class.virtualTime
	}
	return class.virtualTime + quantum*class.meanCost*float64(class.waiting.len())/class.waitingWeight
}

// charge books the expected cost of a request that is taken out.
func (class *class) charge(request *request) {
	if class.meanCost == 0 {
		class.meanCost = request.cost
	}
	class.meanCost += costSmoothing * (request.cost - class.meanCost)
	class.addService(request.flow, request.cost)
}

// addService adds work to a share.
func (class *class) addService(flow *flow, cost float64) {
	class.detach(flow)
	flow.served += cost / flow.weight
	class.reinsert(flow)
}

// detach takes a share out of the heap it is in, before its order changes.
func (class *class) detach(flow *flow) {
	if flow.container != nil {
		flow.container.remove(flow.position)
		flow.container = nil
	}
}

// reinsert puts a share into the heap it belongs to.
func (class *class) reinsert(flow *flow) {
	class.detach(flow)
	class.updateHeaps(flow)
	switch {
	case flow.idle():
		flow.container = &class.idle
	case flow.served <= class.eligibleLimit():
		flow.container = &class.eligible
	default:
		flow.container = &class.ahead
	}
	flow.container.push(flow)
}

// updateHeaps keeps the heaps of all waiting shares in order after a share changed.
func (class *class) updateHeaps(flow *flow) {
	switch {
	case flow.idle() && flow.backlogPosition != absent:
		class.byBacklog.remove(flow.backlogPosition)
		class.byUsage.remove(flow.usagePosition)
		class.waiting.remove(flow.waitingPosition)
	case flow.idle():
	case flow.backlogPosition == absent:
		class.byBacklog.push(flow)
		class.byUsage.push(flow)
		class.waiting.push(flow)
	default:
		class.byBacklog.fix(flow.backlogPosition)
		class.byUsage.fix(flow.usagePosition)
		class.waiting.fix(flow.waitingPosition)
	}
}

// addUsage adds the work of an admitted request to its account's usage.
func (class *class) addUsage(now time.Time, request *request) {
	request.usage = request.cost * class.usageScale(now)
	request.flow.usage += request.usage
	class.totalUsage += request.usage
	request.flow.lastAdmitted = now
}

// removeUsage takes a request that was refused out of its account's usage.
func (class *class) removeUsage(request *request) {
	request.flow.usage -= request.usage
	class.totalUsage -= request.usage
}

// underserved tells that an account lately had clearly less for its weight than the
// accounts have on average, or than another that waits.
func (class *class) underserved(flow *flow) bool {
	most := max(class.totalUsage/class.totalWeight, class.byUsage.top().relativeUsage())
	return underservedRatio*flow.relativeUsage() < most
}

// usageScale is the factor by which work done now counts more than work at the
// origin of the scale; it doubles with each half-life.
func (class *class) usageScale(now time.Time) float64 {
	if class.usageOrigin.IsZero() {
		class.usageOrigin = now
	}
	exponent := float64(now.Sub(class.usageOrigin)) / float64(usageHalfLife)
	if exponent > maxScaleExponent {
		class.rescaleUsage(math.Exp2(-exponent))
		class.usageOrigin, exponent = now, 0
	}
	return math.Exp2(exponent)
}

// rescaleUsage multiplies all usage, which keeps its order.
func (class *class) rescaleUsage(factor float64) {
	class.totalUsage *= factor
	for _, flow := range class.flows {
		flow.usage *= factor
		for _, request := range flow.requests.elements {
			request.usage *= factor
		}
	}
}

// evictIdle forgets accounts that have not asked for anything for long.
func (class *class) evictIdle(now time.Time, limit int) {
	for range limit {
		if class.idle.len() == 0 || now.Sub(class.idle.top().lastAdmitted) < idleTimeout {
			return
		}
		flow := class.idle.top()
		class.detach(flow)
		delete(class.flows, flow.account)
		class.totalWeight -= flow.weight
		class.totalUsage -= flow.usage
	}
}
