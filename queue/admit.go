package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// newRequest returns the request of an offered item, with its expected cost and
// the latest time at which it has to start.
func (queue *Queue) newRequest(now time.Time, item Item) *request {
	queue.sequence++
	class := queue.classOf(item.Kind)
	request := &request{
		item:                item,
		sequence:            queue.sequence,
		class:               class,
		expectedOutput:      queue.estimator.expectedOutput(&item),
		flowPosition:        absent,
		expiryPosition:      absent,
		preemptiblePosition: absent,
	}
	request.cost = queue.estimator.requestCost(item.PromptTokens, request.expectedOutput)
	request.flow = queue.flowOf(class, &item)
	request.slack = queue.slack(&item)
	if request.slack > 0 {
		request.due = item.Arrived.Add(request.slack)
	}
	if !item.Deadline.IsZero() && (request.due.IsZero() || item.Deadline.Before(request.due)) {
		request.due = item.Deadline
	}
	if !request.due.IsZero() {
		request.slack = request.due.Sub(now)
	}
	request.rank = queue.rank(request)
	if queue.config.Policy.NoRefusal {
		request.due = item.Deadline
	}
	return request
}

// classOf returns the class that serves requests of a kind.
func (queue *Queue) classOf(kind call.Kind) *class {
	if kind == call.KindBatch && !queue.config.Policy.NoBatchClass {
		return queue.batch
	}
	return queue.online
}

// flowOf returns the flow of an item's account in a class.
func (queue *Queue) flowOf(class *class, item *Item) *flow {
	if queue.config.Policy.NoFairness {
		return class.flow("", 1)
	}
	return class.flow(item.Account, float64(max(1, item.Weight)))
}

// slack returns how long after its arrival an item can start and still meet its
// objective; zero means that it has none.
func (queue *Queue) slack(item *Item) time.Duration {
	batch := queue.running + 1
	slack := time.Duration(0)
	if objective := item.Objective.FirstToken(); objective > 0 {
		slack = max(objective-queue.estimator.firstToken(item, batch), fraction(objective, minSlackShare))
	}
	if objective := item.Objective.Whole(); objective > 0 {
		whole := max(objective-queue.estimator.whole(item, batch), fraction(objective, minSlackShare))
		if slack == 0 || whole < slack {
			slack = whole
		}
	}
	return slack
}

func fraction(duration time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(duration))
}

// noDueRank is added to the rank of requests without a due time, so that they
// come after all others, by arrival.
const noDueRank = int64(1) << 61

const (
	// strictShift is the position of the kind in a rank, above the arrival time.
	strictShift = 58
	// arrivedShift drops the low bits of the arrival time to make room for the
	// kind.
	arrivedShift = 4
)

// rank returns the key by which requests of one class are ordered, lowest first:
// unless the policy says otherwise, the latest start that meets the objective.
func (queue *Queue) rank(request *request) int64 {
	arrived := request.item.Arrived.UnixNano()
	switch {
	case queue.config.Policy.StrictPriority:
		return int64(request.item.Kind)<<strictShift + arrived>>arrivedShift
	case queue.config.Policy.NoDeadline:
		return arrived
	case request.due.IsZero():
		return noDueRank + arrived
	default:
		return request.due.UnixNano()
	}
}

// refuseOffer refuses a request that should not enter the queue, and reports
// whether it did. It may refuse waiting requests in favour of this one.
func (queue *Queue) refuseOffer(now time.Time, request *request) bool {
	estimate := queue.estimate(request)
	code := call.CodeOverloaded
	switch {
	case queue.draining:
		code, estimate.Cause = call.CodeDraining, CauseDraining
	case queue.tooLarge(request):
		code, estimate.Cause = call.CodeTooLarge, CauseCapacity
	case !request.due.IsZero() && !request.due.After(now):
		estimate.Cause = CauseExpired
	case queue.infeasible(request, estimate) && !queue.displace(now, request):
		estimate.Cause = CauseWait
	case !queue.makeRoom(now, request):
		estimate.Cause = CauseFull
	default:
		return false
	}
	retry := retryAfter(estimate)
	if estimate.Cause == CauseCapacity {
		retry = 0
	}
	queue.refuse(request, code, estimate, retry)
	return true
}

// infeasible reports whether an offered request is expected to miss its
// objective.
func (queue *Queue) infeasible(request *request, estimate Estimate) bool {
	return !request.due.IsZero() && estimate.Wait > estimate.Slack && !queue.config.Policy.NoRefusal
}

// displace refuses a waiting request of the account with the most recent work
// for its weight, if that is more than the account of the offered request has,
// and reports whether it did. As the server can't meet the objectives of both,
// the account with less recent work takes precedence.
func (queue *Queue) displace(now time.Time, request *request) bool {
	class := request.class
	if class.byUsage.len() == 0 || queue.config.Policy.NoDisplacement {
		return false
	}
	largest := class.byUsage.top()
	own := (request.flow.usage + request.cost*class.usageScale(now)) / request.flow.weight
	if largest == request.flow || largest.relativeUsage() <= own {
		return false
	}
	last := largest.requests.elements[largest.requests.len()-1]
	estimate := Estimate{Cause: CauseShare, Slack: max(0, last.slack), Wait: queue.wait(last)}
	queue.drop(last, call.CodeOverloaded, estimate, retryAfter(estimate))
	return true
}

// tooLarge reports whether a request can never fit on the backend server or in
// the queue.
func (queue *Queue) tooLarge(request *request) bool {
	limit := queue.config.CacheTokens
	return limit > 0 && int64(request.item.CacheTokens) > limit || request.item.Bytes > queue.config.MaxBytes
}

// makeRoom refuses waiting requests of the account with the most of them for its
// weight until the offered request fits. It returns false if that account is the
// offered request's own.
func (queue *Queue) makeRoom(now time.Time, request *request) bool {
	class := request.class
	for class.count >= queue.config.MaxItems || class.bytes+request.item.Bytes > queue.config.MaxBytes {
		largest := class.byBacklog.top()
		own := float64(request.flow.requests.len()+1) / request.flow.weight
		if largest == request.flow || own >= largest.relativeBacklog() {
			return false
		}
		elements := largest.requests.elements
		last := elements[len(elements)-1]
		estimate := Estimate{Cause: CauseFull, Slack: last.due.Sub(now), Wait: queue.wait(last)}
		queue.drop(last, call.CodeOverloaded, estimate, retryAfter(estimate))
	}
	return true
}

// expire refuses waiting requests whose due time has passed.
func (queue *Queue) expire(now time.Time) {
	for _, class := range []*class{queue.online, queue.batch} {
		for class.expiry.len() > 0 && !class.expiry.top().due.After(now) {
			request := class.expiry.top()
			estimate := Estimate{Cause: CauseExpired, Wait: queue.wait(request), Slack: request.due.Sub(now)}
			queue.drop(request, call.CodeOverloaded, estimate, retryAfter(estimate))
		}
	}
}

// drop refuses a waiting request.
func (queue *Queue) drop(request *request, code call.Code, estimate Estimate, retry time.Duration) {
	delete(queue.requests, request.item.ID)
	request.class.removeUsage(request)
	request.class.remove(request)
	queue.refuse(request, code, estimate, retry)
}

// refuse adds the action that refuses a request.
func (queue *Queue) refuse(request *request, code call.Code, estimate Estimate, retry time.Duration) {
	outcome := call.Outcome(call.NotRun{})
	if request.ran {
		outcome = call.Run{}
	}
	queue.actions = append(queue.actions, Refuse{
		ID: request.item.ID,
		Refusal: &call.Refusal{
			Code:       code,
			Message:    refusalMessage(code),
			Outcome:    outcome,
			RetryAfter: retry,
		},
		Estimate: estimate,
	})
}

func refusalMessage(code call.Code) string {
	switch code {
	case call.CodeDraining:
		return "the backend server is leaving"
	case call.CodeTooLarge:
		return "the request does not fit on the backend server"
	case call.CodeCancelled:
		return "the caller gave up"
	case call.CodeConflict:
		return "the attempt is already known"
	default:
		return "the objective can't be met under the present load"
	}
}

// retryAfter returns how long until the excess of the expected wait over the
// slack is worked off, within bounds.
func retryAfter(estimate Estimate) time.Duration {
	return min(max(estimate.Wait-max(0, estimate.Slack), minRetryAfter), maxRetryAfter)
}
