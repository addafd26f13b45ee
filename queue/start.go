package queue

import "time"

// maxLimitExcess is the share of the limit by which underserved accounts may
// exceed it.
const maxLimitExcess = 0.15

// limit returns how many requests may currently run at once.
func (queue *Queue) limit() int {
	if queue.config.Policy.NoPacing {
		return queue.config.Slots
	}
	return min(queue.pacer.limit, queue.config.Slots)
}

// hasRoom reports whether there is a slot and KV cache for a request.
func (queue *Queue) hasRoom(request *request) bool {
	limit := queue.limit()
	if request.class == queue.batch {
		limit -= queue.reservedSlots(limit)
	}
	return queue.running < limit && queue.cacheFits(request)
}

// reservedSlots returns how many of limit slots batch requests leave free.
func (queue *Queue) reservedSlots(limit int) int {
	if limit <= 1 {
		return 0
	}
	return max(1, int(queue.config.ReservedShare*float64(limit)))
}

// cacheFits reports whether there is KV cache for a request.
func (queue *Queue) cacheFits(request *request) bool {
	limit := queue.config.CacheTokens
	return limit == 0 || queue.cacheTokens+int64(request.item.CacheTokens) <= limit
}

// nextToStart returns the waiting request that may start now, or nil. A request
// that goes next but doesn't fit is not overtaken by a smaller one.
func (queue *Queue) nextToStart(now time.Time) *request {
	if queue.running >= queue.limit() {
		return queue.nextAboveLimit(now)
	}
	online, batch := queue.online.next(), queue.batch.next()
	if online == nil && batch != nil && queue.hasRoom(batch) {
		return batch
	}
	if online != nil && batch != nil && queue.batchCredit >= batch.cost && queue.cacheFits(batch) {
		return batch
	}
	if online != nil && queue.cacheFits(online) {
		return online
	}
	return nil
}

// nextAboveLimit returns a request that may start above the limit, or nil: one
// that has waited at least half its slack, of an underserved account. The pacer
// reduces the limit later if tokens become too slow.
func (queue *Queue) nextAboveLimit(now time.Time) *request {
	limit := queue.limit()
	if queue.running >= min(queue.config.Slots, limit+int(maxLimitExcess*float64(limit))) {
		return nil
	}
	request := queue.online.next()
	if request == nil || request.due.IsZero() || !queue.cacheFits(request) {
		return nil
	}
	waited := request.slack - request.due.Sub(now)
	if !queue.online.underserved(request.flow) || waited < request.slack/2 {
		return nil
	}
	return request
}

// startRequest moves a waiting request to a slot.
func (queue *Queue) startRequest(now time.Time, request *request) {
	earned := queue.updateCredit(request)
	request.class.charge(request)
	request.class.remove(request)
	queue.running++
	queue.cacheTokens += int64(request.item.CacheTokens)
	request.running, request.started, request.batchSize = true, now, queue.running
	if request.class == queue.batch && !earned {
		queue.preemptible.push(request)
	}
}

// updateCredit updates batchCredit for a request that starts: waiting batch
// requests earn a share of the cost of other requests, and spend it as they
// start. It reports whether request is a batch request that the credit covers,
// which makes it safe from preemption.
func (queue *Queue) updateCredit(request *request) bool {
	switch {
	case request.class == queue.batch:
		earned := queue.batchCredit >= request.cost
		queue.batchCredit = max(0, queue.batchCredit-request.cost)
		return earned
	case queue.batch.count > 0:
		queue.batchCredit += queue.config.BatchShare * request.cost
	default:
		queue.batchCredit = 0
	}
	return false
}

// release frees the slot and KV cache of a request.
func (queue *Queue) release(request *request) {
	queue.running--
	queue.cacheTokens -= int64(request.item.CacheTokens)
	if request.preemptiblePosition != absent {
		queue.preemptible.remove(request.preemptiblePosition)
	}
}

// correctCost replaces the expected cost of a request in its flow's service with
// the actual one.
func (queue *Queue) correctCost(request *request, cost float64) {
	flow, known := request.class.flows[request.flow.account]
	if !known {
		flow = request.class.flow(request.flow.account, request.flow.weight)
	}
	request.class.addService(flow, cost-request.cost)
}

// preempt asks for the slot of the batch request that started last, if there is
// no room for the request that was just offered.
func (queue *Queue) preempt(offered *request) {
	if offered.class == queue.batch || queue.hasRoom(offered) || queue.preemptible.len() == 0 {
		return
	}
	victim := queue.preemptible.top()
	if victim.preemptRequested || victim.cancelled || victim.preemptions >= queue.config.MaxPreemptions {
		return
	}
	victim.preemptRequested = true
	victim.preemptions++
	queue.preemptible.remove(victim.preemptiblePosition)
	queue.actions = append(queue.actions, Preempt{ID: victim.item.ID})
}
