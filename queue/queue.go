package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	// minSlackShare is the share of an objective that a request may always wait, so
	// that one whose objective can't be met even on an idle server still runs.
	minSlackShare = 0.25
	// minRetryAfter and maxRetryAfter bound Retry-After.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxEvictions bounds the idle accounts evicted from each class in one tick.
	maxEvictions = 64
)

// Queue decides what a backend server runs next. It is not safe for concurrent
// use.
type Queue struct {
	config    Config
	estimator *estimator
	pacer     pacer
	// batch schedules batch requests, and online all others.
	online   *class
	batch    *class
	requests map[ID]*request
	// preemptible holds the running batch requests that may be preempted, the one
	// started last first.
	preemptible heap[*request]
	running     int
	// cacheTokens is the KV cache reserved by running requests.
	cacheTokens int64
	// batchCredit is the work that batch requests have earned while they waited
	// for others.
	batchCredit float64
	sequence    uint64
	draining    bool
	actions     []Action
}

// New returns an empty queue.
func New(config Config) *Queue {
	config = config.withDefaults()
	return &Queue{
		config:    config,
		estimator: newEstimator(config),
		pacer:     newPacer(config.Slots),
		online:    newClass(),
		batch:     newClass(),
		requests:  map[ID]*request{},
		preemptible: heap[*request]{
			less: func(left, right *request) bool {
				return left.started.After(right.started) ||
					left.started.Equal(right.started) && left.sequence > right.sequence
			},
			place: func(request *request, position int) { request.preemptiblePosition = position },
		},
	}
}

// Offer adds item to the queue. The returned actions include a [Refuse] of the
// item if it can't be added, and whatever else follows from its arrival.
func (queue *Queue) Offer(now time.Time, item Item) []Action {
	if _, repeated := queue.requests[item.ID]; repeated {
		queue.refuse(&request{item: item}, call.CodeConflict, Estimate{Cause: CauseDuplicate}, 0)
		return queue.takeActions()
	}
	if item.Arrived.IsZero() {
		item.Arrived = now
	}
	queue.expire(now)
	request := queue.newRequest(now, item)
	if refused := queue.refuseOffer(now, request); refused {
		return queue.takeActions()
	}
	queue.requests[item.ID] = request
	request.class.addUsage(now, request)
	request.class.add(request)
	queue.preempt(request)
	return queue.takeActions()
}

// Start removes and returns the request to run next, if there is one and room for
// it. Expired requests that it finds are refused by the next call that returns
// actions, so the caller should call [Queue.Tick] as well.
func (queue *Queue) Start(now time.Time) (Item, bool) {
	queue.expire(now)
	request := queue.nextToStart(now)
	if request == nil {
		return Item{}, false
	}
	queue.startRequest(now, request)
	return request.item, true
}

// Progress records how many tokens a running request has generated since it
// started. The first call marks the first token.
func (queue *Queue) Progress(now time.Time, id ID, tokens call.Tokens) {
	request, ok := queue.requests[id]
	if !ok || !request.running || tokens <= request.tokens {
		return
	}
	if request.firstToken.IsZero() {
		request.firstToken = now
		queue.estimator.observeFirstToken(request, now)
	} else {
		more := tokens - request.tokens
		gap := queue.estimator.observeTokens(request, queue.running, now.Sub(request.lastToken), more)
		objective := request.item.Objective.BetweenTokens()
		queue.pacer.observe(now, gap, objective, queue.running, queue.reservedSlots(queue.limit()), queue.config.Slots)
	}
	request.lastToken, request.tokens = now, tokens
}

// Finish frees the slot of a running request that generated used tokens.
func (queue *Queue) Finish(now time.Time, id ID, used call.Tokens) []Action {
	request, ok := queue.requests[id]
	if !ok || !request.running {
		return queue.takeActions()
	}
	delete(queue.requests, id)
	queue.release(request)
	cost := queue.estimator.requestCost(request.item.PromptTokens, float64(used))
	if !request.cancelled {
		queue.estimator.observeFinish(request, now, used, cost)
	}
	queue.correctCost(request, cost)
	return queue.takeActions()
}

// Abort is like [Queue.Finish] for a request that failed or was cancelled after
// used tokens of output. The time it took does not enter the estimates.
func (queue *Queue) Abort(now time.Time, id ID, used call.Tokens) []Action {
	if request, ok := queue.requests[id]; ok && request.running {
		request.cancelled = true
	}
	return queue.Finish(now, id, used)
}

// Requeue returns a preempted batch request to the queue after used tokens of
// output, from which the backend server will resume. A request that was cancelled
// ends instead.
func (queue *Queue) Requeue(now time.Time, id ID, used call.Tokens) []Action {
	request, ok := queue.requests[id]
	if !ok || !request.running {
		return queue.takeActions()
	}
	queue.release(request)
	queue.correctCost(request, queue.estimator.requestCost(request.item.PromptTokens, float64(used)))
	request.running, request.preemptRequested, request.ran = false, false, true
	request.firstToken, request.tokens = time.Time{}, 0
	if request.cancelled {
		delete(queue.requests, id)
		return queue.takeActions()
	}
	request.item.MaxTokens = max(1, request.item.MaxTokens-used)
	request.expectedOutput = queue.estimator.expectedOutput(&request.item)
	request.cost = queue.estimator.requestCost(request.item.PromptTokens, request.expectedOutput)
	request.flow = request.class.flow(request.item.Account, request.flow.weight)
	request.class.add(request)
	return queue.takeActions()
}

// Cancel cancels a request whose caller no longer waits for it.
func (queue *Queue) Cancel(_ time.Time, id ID) []Action {
	request, ok := queue.requests[id]
	switch {
	case !ok:
	case !request.running:
		queue.drop(request, call.CodeCancelled, Estimate{Cause: CauseCancelled}, 0)
	case !request.cancelled:
		request.cancelled = true
		queue.actions = append(queue.actions, Stop{ID: id})
	}
	return queue.takeActions()
}

// Tick refuses requests that can no longer meet their objective, and evicts idle
// accounts.
func (queue *Queue) Tick(now time.Time) []Action {
	queue.expire(now)
	queue.online.evictIdle(now, maxEvictions)
	queue.batch.evictIdle(now, maxEvictions)
	return queue.takeActions()
}

// Next returns when the next waiting request expires, which is the latest time to
// call [Queue.Tick]. It returns false if none does.
func (queue *Queue) Next() (time.Time, bool) {
	due := time.Time{}
	for _, class := range []*class{queue.online, queue.batch} {
		if class.expiry.len() == 0 {
			continue
		}
		if first := class.expiry.top().due; due.IsZero() || first.Before(due) {
			due = first
		}
	}
	return due, !due.IsZero()
}

// Drain makes the queue refuse all later offers. Requests that wait already still
// run.
func (queue *Queue) Drain() { queue.draining = true }

// RefuseWaiting refuses all waiting requests, so that they can run elsewhere.
func (queue *Queue) RefuseWaiting() []Action {
	for _, class := range []*class{queue.online, queue.batch} {
		for request := class.next(); request != nil; request = class.next() {
			queue.drop(request, call.CodeDraining, Estimate{Cause: CauseDraining}, minRetryAfter)
		}
	}
	return queue.takeActions()
}

// SetCapacity sets how many requests run at once and the KV cache that they may
// reserve together. It doesn't affect running requests.
func (queue *Queue) SetCapacity(slots int, cacheTokens int64) {
	queue.config.Slots, queue.config.CacheTokens = slots, cacheTokens
	queue.pacer.limit = min(max(queue.pacer.limit, minLimit), slots)
}

// Len returns the number of waiting and of running requests.
func (queue *Queue) Len() (queued, running int) {
	return queue.online.count + queue.batch.count, queue.running
}

// Load returns the state of the queue to report to entries.
func (queue *Queue) Load() Load {
	backlog := 0.0
	for _, class := range []*class{queue.online, queue.batch} {
		for _, cost := range class.backlog {
			backlog += max(0, cost)
		}
	}
	queued, running := queue.Len()
	return Load{
		Queued:       queued,
		Running:      running,
		QueuedTokens: call.Tokens(backlog),
		FirstToken:   queue.expectedFirstToken(),
		Draining:     queue.draining,
	}
}

// Priority returns the priority of requests of a kind in the backend server; a
// higher one runs first.
func Priority(kind call.Kind) int {
	return kindCount - 1 - int(kind)
}

// takeActions returns the pending actions and clears them.
func (queue *Queue) takeActions() []Action {
	actions := queue.actions
	queue.actions = nil
	return actions
}
