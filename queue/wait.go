package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// estimate returns the expected wait and the slack of an offered request.
func (queue *Queue) estimate(request *request) Estimate {
	return Estimate{Wait: queue.wait(request), Slack: max(0, request.slack)}
}

// wait returns the expected time until a request starts: the time that the server
// takes for all work that goes before it, or for its account's part of that work
// at the account's share of the service rate, whichever is less.
func (queue *Queue) wait(request *request) time.Duration {
	if queue.hasRoom(request) && request.class.count == 0 {
		return 0
	}
	rate := queue.estimator.serviceRate(queue.limit())
	class, flow := request.class, request.flow
	oneRequest := queue.estimator.meanCost
	total := backlogUpTo(&class.backlog, request.item.Kind) + oneRequest
	weight := class.waitingWeight
	if flow.idle() {
		weight += flow.weight
	}
	accountTotal := backlogUpTo(&flow.backlog, request.item.Kind) + oneRequest + max(0, flow.served-class.virtualTime)*flow.weight
	return seconds(min(total, accountTotal*weight/flow.weight) / rate)
}

// expectedFirstToken returns the expected time to the first token of a new
// interactive request of an account without waiting requests.
func (queue *Queue) expectedFirstToken() time.Duration {
	model := modelEstimate{}
	gap := queue.estimator.tokenGap(&model, queue.running)
	if queue.running < queue.limit() && queue.online.count == 0 {
		return seconds(gap)
	}
	rate := queue.estimator.serviceRate(queue.limit())
	oneRequest := queue.estimator.meanCost
	total := backlogUpTo(&queue.online.backlog, call.KindInteractive) + oneRequest
	return seconds(gap + min(total, oneRequest*(queue.online.waitingWeight+1))/rate)
}

// backlogUpTo returns the backlog of all kinds that are at least as urgent as
// kind.
func backlogUpTo(backlog *[kindCount]float64, kind call.Kind) float64 {
	sum := 0.0
	for each := range int(kind) + 1 {
		sum += max(0, backlog[each])
	}
	return sum
}
