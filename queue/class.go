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
	// quantum is how far the service of an eligible flow, relative to its weight,
	// may exceed that of the least served flow, in mean costs of a request.
	quantum = 0.5
	// costSmoothing is the weight of the newest cost in the mean.
	costSmoothing = 0.05
	// usageHalfLife is the age at which work counts half in a flow's usage.
	usageHalfLife = 10 * time.Second
	// underservedRatio is the least ratio of the usage of others to that of an
	// underserved flow.
	underservedRatio = 1.2
	// maxScaleExponent bounds the scale of usage well below the largest float64.
	maxScaleExponent = 500
	// idleTimeout is how long the state of an idle account is kept.
	idleTimeout = 6 * usageHalfLife
)

// class shares its part of the server among client accounts by weighted fair
// queueing, with one flow for each account. The flows whose service for their
// weight is within a quantum of the least are eligible, and among these the
// request with the lowest rank goes next. The virtual time is the least service
// for its weight of a waiting flow. It never decreases, and an idle flow that
// gets a request starts from it, so that idle time earns no credit.
type class struct {
	flows map[names.ClientAccount]*flow
	// eligible holds the waiting flows within the quantum, by the rank of their
	// first request.
	eligible heap[*flow]
	// ahead holds the other waiting flows, by service.
	ahead heap[*flow]
	// waiting holds all waiting flows, by service.
	waiting heap[*flow]
	// idleFlows holds the flows without waiting requests, by lastAdmitted.
	idleFlows heap[*flow]
	// byBacklog holds the waiting flows, the largest backlog for its weight first.
	byBacklog heap[*flow]
	// byUsage holds the waiting flows, the highest usage for its weight first.
	byUsage heap[*flow]
	// expiry holds the waiting requests with a due time, the earliest first.
	expiry      heap[*request]
	virtualTime float64
	// waitingWeight is the weight of all waiting flows together.
	waitingWeight float64
	// totalUsage and totalWeight are the usage and weight of all flows together.
	totalUsage  float64
	totalWeight float64
	// usageOrigin is the time at which the scale of usage is one.
	usageOrigin time.Time
	// meanCost is the moving average of the costs of started requests.
	meanCost float64
	// backlog is the cost of the waiting requests, by kind; count and bytes are
	// their number and size.
	backlog [kindCount]float64
	count   int
	bytes   int64
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
		idleFlows: heap[*flow]{
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

// flow returns the account's flow, which it creates if there is none, and updates
// its weight.
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

// add adds a waiting request.
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

// remove removes a waiting request.
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

// next returns the request that goes next without removing it, or nil. It
// advances the virtual time.
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

// eligibleLimit returns the highest service for its weight of an eligible flow.
func (class *class) eligibleLimit() float64 {
	if class.waitingWeight <= 0 {
		return class.virtualTime
	}
	return class.virtualTime + quantum*class.meanCost*float64(class.waiting.len())/class.waitingWeight
}

// charge adds the expected cost of a request that starts to its flow's service.
func (class *class) charge(request *request) {
	if class.meanCost == 0 {
		class.meanCost = request.cost
	}
	class.meanCost += costSmoothing * (request.cost - class.meanCost)
	class.addService(request.flow, request.cost)
}

// addService adds work to a flow's service.
func (class *class) addService(flow *flow, cost float64) {
	class.detach(flow)
	flow.served += cost / flow.weight
	class.reinsert(flow)
}

// detach removes a flow from its container before its order changes.
func (class *class) detach(flow *flow) {
	if flow.container != nil {
		flow.container.remove(flow.position)
		flow.container = nil
	}
}

// reinsert puts a flow into the heaps that it belongs to.
func (class *class) reinsert(flow *flow) {
	class.detach(flow)
	class.updateHeaps(flow)
	switch {
	case flow.idle():
		flow.container = &class.idleFlows
	case flow.served <= class.eligibleLimit():
		flow.container = &class.eligible
	default:
		flow.container = &class.ahead
	}
	flow.container.push(flow)
}

// updateHeaps restores the order of the heaps of all waiting flows after a flow
// changed.
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

// addUsage adds the cost of an admitted request to its flow's usage.
func (class *class) addUsage(now time.Time, request *request) {
	request.usage = request.cost * class.usageScale(now)
	request.flow.usage += request.usage
	class.totalUsage += request.usage
	request.flow.lastAdmitted = now
}

// removeUsage subtracts a request that was refused from its flow's usage.
func (class *class) removeUsage(request *request) {
	request.flow.usage -= request.usage
	class.totalUsage -= request.usage
}

// underserved reports whether a flow has clearly less usage for its weight than
// the flows have on average, or than another waiting flow.
func (class *class) underserved(flow *flow) bool {
	reference := max(class.totalUsage/class.totalWeight, class.byUsage.top().relativeUsage())
	return underservedRatio*flow.relativeUsage() < reference
}

// usageScale returns the factor by which work admitted now counts more than work
// admitted at usageOrigin. It doubles with each half-life, which makes older work
// count less without updating each flow.
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

// rescaleUsage multiplies all usage by a factor, which keeps the order of flows.
func (class *class) rescaleUsage(factor float64) {
	class.totalUsage *= factor
	for _, flow := range class.flows {
		flow.usage *= factor
		for _, request := range flow.requests.elements {
			request.usage *= factor
		}
	}
}

// evictIdle deletes at most limit flows that are idle and have had no request
// admitted for idleTimeout.
func (class *class) evictIdle(now time.Time, limit int) {
	for range limit {
		if class.idleFlows.len() == 0 || now.Sub(class.idleFlows.top().lastAdmitted) < idleTimeout {
			return
		}
		flow := class.idleFlows.top()
		class.detach(flow)
		delete(class.flows, flow.account)
		class.totalWeight -= flow.weight
		class.totalUsage -= flow.usage
	}
}
