package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// flow is one client account's state in one class: its waiting requests and the
// service that it has had.
type flow struct {
	account names.ClientAccount
	weight  float64
	// served is the service had, divided by the weight, on the scale of the
	// class's virtual time.
	served float64
	// requests holds the waiting requests by rank.
	requests heap[*request]
	// backlog is the cost of the waiting requests, by kind.
	backlog [kindCount]float64
	bytes   int64
	// usage is the cost of the admitted requests, on the class's increasing scale,
	// so that older work counts less; usagePosition is the position in byUsage.
	usage         float64
	usagePosition int
	// lastAdmitted is when the last request was admitted.
	lastAdmitted time.Time
	// waitingPosition is the position in the heap of waiting flows.
	waitingPosition int
	// container is whichever of the class's heaps eligible, ahead and idleFlows
	// the flow is in, and position the position there.
	container *heap[*flow]
	position  int
	// backlogPosition is the position in byBacklog.
	backlogPosition int
}

func newFlow(account names.ClientAccount, weight float64) *flow {
	return &flow{
		account:         account,
		weight:          weight,
		position:        absent,
		backlogPosition: absent,
		usagePosition:   absent,
		waitingPosition: absent,
		requests: heap[*request]{
			less:  earlier,
			place: func(request *request, position int) { request.flowPosition = position },
		},
	}
}

// relativeBacklog returns the number of waiting requests relative to the weight.
func (flow *flow) relativeBacklog() float64 {
	return float64(flow.requests.len()) / flow.weight
}

// relativeUsage returns the usage relative to the weight.
func (flow *flow) relativeUsage() float64 { return flow.usage / flow.weight }

// idle reports whether no request of the flow is waiting.
func (flow *flow) idle() bool { return flow.requests.len() == 0 }
