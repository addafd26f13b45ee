package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	// leastSlack is the part of an objective that a request may always wait, so
	// that one whose objective is out of reach even on an idle server still runs.
	leastSlack = 0.25
	// leastRetry bounds Retry-After from below.
	leastRetry = time.Second
	// mostRetry bounds Retry-After from above.
	mostRetry = time.Minute
	// sweepLimit bounds the idle accounts forgotten in one tick.
	sweepLimit = 64
)

// Queue decides what a backend server runs next. It is not safe for concurrent
// use.
type Queue struct {
	config    Config
	estimator *estimator
	pacer     pacer
	owed      *class
	batch     *class
	requests  map[ID]*request
	// batchRunning holds batch requests that run, those started last first.
	batchRunning heap[*request]
	running      int
	cacheTokens  int64
	// credit is the work that batch requests are due while others wait.
	credit   float64
	sequence uint64
	draining bool
	actions  []Action
}

// New returns an empty queue.
func New(config Config) *Queue {
	config = config.withDefaults()
	return &Queue{
		config:    config,
		estimator: newEstimator(config),
		pacer:     newPacer(config.Slots),
		owed:      newClass(),
		batch:     newClass(),
		requests:  map[ID]*request{},
		batchRunning: heap[*request]{
			less: func(left, right *request) bool {
				return left.started.After(right.started) ||
					left.started.Equal(right.started) && left.sequence > right.sequence
			},
			place: func(request *request, position int) { request.inPreempted = position },
		},
	}
}

// Offer asks for item to be run. The answer holds a [Refuse] of the item if it
// can't be, and what else follows from its arrival.
func (queue *Queue) Offer(now time.Time, item Item) []Action {
	if _, repeated := queue.requests[item.ID]; repeated {
		queue.refuse(&request{item: item}, call.CodeConflict, Estimate{Cause: CauseDuplicate}, 0)
		return queue.take()
	}
	if item.Arrived.IsZero() {
		item.Arrived = now
	}
	queue.expire(now)
	request := queue.newRequest(now, item)
	if refused := queue.refuseOffer(now, request); refused {
		return queue.take()
	}
	queue.requests[item.ID] = request
	request.class.use(now, request)
	request.class.add(request)
	queue.preempt(request)
	return queue.take()
}

// Start takes out the request to run next, if there is one and room for it. A
// request that it finds hopeless is refused by the next call that returns
// actions, so the shell calls [Queue.Tick] first.
func (queue *Queue) Start(now time.Time) (Item, bool) {
	queue.expire(now)
	request := queue.choose(now)
	if request == nil {
		return Item{}, false
	}
	queue.begin(now, request)
	return request.item, true
}

// Progress reports how many tokens a running request has put out in all. The
// first call marks the first token.
func (queue *Queue) Progress(now time.Time, id ID, tokens call.Tokens) {
	request, ok := queue.requests[id]
	if !ok || !request.running || tokens <= request.tokens {
		return
	}
	if request.first.IsZero() {
		request.first = now
		queue.estimator.sawFirst(request, now)
	} else {
		more := tokens - request.tokens
		gap := queue.estimator.sawTokens(request, queue.running, now.Sub(request.last), more)
		owed := request.item.Objective.BetweenTokens()
		queue.pacer.saw(now, gap, owed, queue.running, queue.reserved(queue.limit()), queue.config.Slots)
	}
	request.last, request.tokens = now, tokens
}

// Finish frees the slot of a running request that put out used tokens.
func (queue *Queue) Finish(now time.Time, id ID, used call.Tokens) []Action {
	request, ok := queue.requests[id]
	if !ok || !request.running {
		return queue.take()
	}
	delete(queue.requests, id)
	queue.release(request)
	cost := queue.estimator.work(request.item.PromptTokens, float64(used))
	if !request.stopped {
		queue.estimator.sawFinish(request, now, used, cost)
	}
	queue.correct(request, cost)
	return queue.take()
}

// Abort is [Queue.Finish] for a request that failed or was given up after used
// tokens of output. How long it took teaches nothing.
func (queue *Queue) Abort(now time.Time, id ID, used call.Tokens) []Action {
	if request, ok := queue.requests[id]; ok && request.running {
		request.stopped = true
	}
	return queue.Finish(now, id, used)
}

// Requeue puts a preempted batch request back after used tokens of output, from
// which the backend server resumes. A request that was cancelled ends instead.
func (queue *Queue) Requeue(now time.Time, id ID, used call.Tokens) []Action {
	request, ok := queue.requests[id]
	if !ok || !request.running {
		return queue.take()
	}
	queue.release(request)
	queue.correct(request, queue.estimator.work(request.item.PromptTokens, float64(used)))
	request.running, request.asked, request.ran = false, false, true
	request.first, request.tokens = time.Time{}, 0
	if request.stopped {
		delete(queue.requests, id)
		return queue.take()
	}
	request.item.MaxTokens = max(1, request.item.MaxTokens-used)
	request.output = queue.estimator.output(&request.item)
	request.cost = queue.estimator.work(request.item.PromptTokens, request.output)
	request.share = request.class.share(request.item.Account, request.share.weight)
	request.class.add(request)
	return queue.take()
}

// Cancel gives up a request that nobody waits for any more.
func (queue *Queue) Cancel(_ time.Time, id ID) []Action {
	request, ok := queue.requests[id]
	switch {
	case !ok:
	case !request.running:
		queue.drop(request, call.CodeCancelled, Estimate{Cause: CauseCancelled}, 0)
	case !request.stopped:
		request.stopped = true
		queue.actions = append(queue.actions, Stop{ID: id})
	}
	return queue.take()
}

// Tick refuses what can no longer meet its objective.
func (queue *Queue) Tick(now time.Time) []Action {
	queue.expire(now)
	queue.owed.sweep(now, sweepLimit)
	queue.batch.sweep(now, sweepLimit)
	return queue.take()
}

// Next returns when the next waiting request becomes hopeless, which is when
// the shell should call [Queue.Tick] at the latest.
func (queue *Queue) Next() (time.Time, bool) {
	due := time.Time{}
	for _, class := range []*class{queue.owed, queue.batch} {
		if class.expiry.len() == 0 {
			continue
		}
		if first := class.expiry.top().due; due.IsZero() || first.Before(due) {
			due = first
		}
	}
	return due, !due.IsZero()
}

// Drain refuses all later offers. What waits still runs.
func (queue *Queue) Drain() { queue.draining = true }

// RefuseWaiting refuses everything that waits, so that it can run elsewhere.
func (queue *Queue) RefuseWaiting() []Action {
	for _, class := range []*class{queue.owed, queue.batch} {
		for request := class.next(); request != nil; request = class.next() {
			queue.drop(request, call.CodeDraining, Estimate{Cause: CauseDraining}, leastRetry)
		}
	}
	return queue.take()
}

// SetCapacity changes how many requests run at once and the KV cache they may
// reserve together. Requests that run already are left alone.
func (queue *Queue) SetCapacity(slots int, cacheTokens int64) {
	queue.config.Slots, queue.config.CacheTokens = slots, cacheTokens
	queue.pacer.limit = min(max(queue.pacer.limit, leastLimit), slots)
}

// Len counts what waits and what runs.
func (queue *Queue) Len() (queued, running int) {
	return queue.owed.count + queue.batch.count, queue.running
}

// Load describes the queue to entries.
func (queue *Queue) Load() Load {
	backlog := 0.0
	for _, class := range []*class{queue.owed, queue.batch} {
		for _, cost := range class.backlog {
			backlog += max(0, cost)
		}
	}
	queued, running := queue.Len()
	return Load{
		Queued:       queued,
		Running:      running,
		QueuedTokens: call.Tokens(backlog),
		FirstToken:   queue.freshWait(),
		Draining:     queue.draining,
	}
}

// Priority orders requests of a kind in the backend server; higher runs first.
func Priority(kind call.Kind) int {
	return kindCount - 1 - int(kind)
}

func (queue *Queue) take() []Action {
	actions := queue.actions
	queue.actions = nil
	return actions
}
