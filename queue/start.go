package queue

import "time"

// maxLimitExcess is the part of the limit that may be exceeded for a while.
const maxLimitExcess = 0.15

// limit is how many requests may run at once for now.
func (queue *Queue) limit() int {
	if queue.config.Policy.NoPacing {
		return queue.config.Slots
	}
	return min(queue.pacer.limit, queue.config.Slots)
}

// hasRoom tells whether a request could start at once.
func (queue *Queue) hasRoom(request *request) bool {
	limit := queue.limit()
	if request.class == queue.batch {
		limit -= queue.reservedSlots(limit)
	}
	return queue.running < limit && queue.cacheFits(request)
}

// reservedSlots is how many slots batch requests leave free.
func (queue *Queue) reservedSlots(limit int) int {
	if limit <= 1 {
		return 0
	}
	return max(1, int(queue.config.ReservedShare*float64(limit)))
}

func (queue *Queue) cacheFits(request *request) bool {
	limit := queue.config.CacheTokens
	return limit == 0 || queue.cacheTokens+int64(request.item.CacheTokens) <= limit
}

// nextToStart returns the waiting request that may start now, or nil. The request
// that is next waits for its room rather than being passed by a smaller one.
func (queue *Queue) nextToStart(now time.Time) *request {
	if queue.running >= queue.limit() {
		return queue.nextAboveLimit(now)
	}
	owed, batch := queue.online.next(), queue.batch.next()
	if owed == nil && batch != nil && queue.hasRoom(batch) {
		return batch
	}
	if owed != nil && batch != nil && queue.batchCredit >= batch.cost && queue.cacheFits(batch) {
		return batch
	}
	if owed != nil && queue.cacheFits(owed) {
		return owed
	}
	return nil
}

// nextAboveLimit returns a request that may start above the limit: one that has waited
// long, of an account that lately had clearly less than the others. The
// pacer makes up for it later.
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

// startRequest takes a waiting request out and gives it a slot.
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

// updateCredit lets batch work earn its share of what else is started while it
// waits, and spend it. It tells whether request was paid for, and is thus safe
// from preemption.
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

// release frees the slot of a request.
func (queue *Queue) release(request *request) {
	queue.running--
	queue.cacheTokens -= int64(request.item.CacheTokens)
	if request.preemptiblePosition != absent {
		queue.preemptible.remove(request.preemptiblePosition)
	}
}

// correctCost replaces the expected cost of a request by the real one.
func (queue *Queue) correctCost(request *request, cost float64) {
	flow, known := request.class.flows[request.flow.account]
	if !known {
		flow = request.class.flow(request.flow.account, request.flow.weight)
	}
	request.class.addService(flow, cost-request.cost)
}

// preempt asks for the slot of the batch request that started last, if one that
// was just offered finds no room.
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
