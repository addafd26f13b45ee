package queue

import "time"

// overdraft is the part of the limit that may be exceeded for a while.
const overdraft = 0.15

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
		limit -= queue.reserved(limit)
	}
	return queue.running < limit && queue.cacheFits(request)
}

// reserved is how many slots batch requests leave free.
func (queue *Queue) reserved(limit int) int {
	if limit <= 1 {
		return 0
	}
	return max(1, int(queue.config.ReservedShare*float64(limit)))
}

func (queue *Queue) cacheFits(request *request) bool {
	limit := queue.config.CacheTokens
	return limit == 0 || queue.cacheTokens+int64(request.item.CacheTokens) <= limit
}

// choose returns the waiting request that may start now, or nil. The request
// that is next waits for its room rather than being passed by a smaller one.
func (queue *Queue) choose(now time.Time) *request {
	if queue.running >= queue.limit() {
		return queue.overdraw(now)
	}
	owed, batch := queue.owed.next(), queue.batch.next()
	if owed == nil && batch != nil && queue.hasRoom(batch) {
		return batch
	}
	if owed != nil && batch != nil && queue.credit >= batch.cost && queue.cacheFits(batch) {
		return batch
	}
	if owed != nil && queue.cacheFits(owed) {
		return owed
	}
	return nil
}

// overdraw returns a request that may start above the limit: one that has waited
// long, of an account that lately had clearly less than the others. The
// pacer makes up for it later.
func (queue *Queue) overdraw(now time.Time) *request {
	limit := queue.limit()
	if queue.running >= min(queue.config.Slots, limit+int(overdraft*float64(limit))) {
		return nil
	}
	request := queue.owed.next()
	if request == nil || request.due.IsZero() || !queue.cacheFits(request) {
		return nil
	}
	waited := request.slack - request.due.Sub(now)
	if !queue.owed.light(request.share) || waited < request.slack/2 {
		return nil
	}
	return request
}

// begin takes a waiting request out and gives it a slot.
func (queue *Queue) begin(now time.Time, request *request) {
	earned := queue.bookCredit(request)
	request.class.charge(request)
	request.class.remove(request)
	queue.running++
	queue.cacheTokens += int64(request.item.CacheTokens)
	request.running, request.started, request.batch = true, now, queue.running
	if request.class == queue.batch && !earned {
		queue.batchRunning.push(request)
	}
}

// bookCredit lets batch work earn its share of what else is started while it
// waits, and spend it. It tells whether request was paid for, and is thus safe
// from preemption.
func (queue *Queue) bookCredit(request *request) bool {
	switch {
	case request.class == queue.batch:
		earned := queue.credit >= request.cost
		queue.credit = max(0, queue.credit-request.cost)
		return earned
	case queue.batch.count > 0:
		queue.credit += queue.config.BatchShare * request.cost
	default:
		queue.credit = 0
	}
	return false
}

// release frees the slot of a request.
func (queue *Queue) release(request *request) {
	queue.running--
	queue.cacheTokens -= int64(request.item.CacheTokens)
	if request.inPreempted != absent {
		queue.batchRunning.remove(request.inPreempted)
	}
}

// correct replaces the expected cost of a request by the real one.
func (queue *Queue) correct(request *request, cost float64) {
	share, known := request.class.shares[request.share.account]
	if !known {
		share = request.class.share(request.share.account, request.share.weight)
	}
	request.class.book(share, cost-request.cost)
}

// preempt asks for the slot of the batch request that started last, if one that
// was just offered finds no room.
func (queue *Queue) preempt(offered *request) {
	if offered.class == queue.batch || queue.hasRoom(offered) || queue.batchRunning.len() == 0 {
		return
	}
	victim := queue.batchRunning.top()
	if victim.asked || victim.stopped || victim.preempted >= queue.config.MaxPreemptions {
		return
	}
	victim.asked = true
	victim.preempted++
	queue.batchRunning.remove(victim.inPreempted)
	queue.actions = append(queue.actions, Preempt{ID: victim.item.ID})
}
