package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// estimate foresees how long an offered request would wait.
func (queue *Queue) estimate(request *request) Estimate {
	return Estimate{Wait: queue.wait(request), Slack: max(0, request.slack)}
}

// wait is the expected time until a request starts: the work that goes before
// it at the rate of the server, or its account's work at the account's share
// of that rate, whichever is less.
func (queue *Queue) wait(request *request) time.Duration {
	if queue.hasRoom(request) && request.class.count == 0 {
		return 0
	}
	rate := queue.estimator.serviceRate(queue.limit())
	class, flow := request.class, request.flow
	turn := queue.estimator.meanCost
	all := backlogUpTo(&class.backlog, request.item.Kind) + turn
	weight := class.waitingWeight
	if flow.idle() {
		weight += flow.weight
	}
	own := backlogUpTo(&flow.backlog, request.item.Kind) + turn + max(0, flow.served-class.virtualTime)*flow.weight
	return seconds(min(all, own*weight/flow.weight) / rate)
}

// expectedFirstToken is the time to the first token of an interactive request of an
// account that has nothing waiting.
func (queue *Queue) expectedFirstToken() time.Duration {
	model := modelEstimate{}
	gap := queue.estimator.tokenGap(&model, queue.running)
	if queue.running < queue.limit() && queue.online.count == 0 {
		return seconds(gap)
	}
	rate := queue.estimator.serviceRate(queue.limit())
	turn := queue.estimator.meanCost
	all := backlogUpTo(&queue.online.backlog, call.KindInteractive) + turn
	return seconds(gap + min(all, turn*(queue.online.waitingWeight+1))/rate)
}

// backlogUpTo is the backlog of kinds that are as urgent as kind or more.
func backlogUpTo(backlog *[kindCount]float64, kind call.Kind) float64 {
	sum := 0.0
	for each := range int(kind) + 1 {
		sum += max(0, backlog[each])
	}
	return sum
}
