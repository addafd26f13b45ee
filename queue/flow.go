package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// flow is what one client account has waiting in one class, and how much of
// the class's work it has had.
type flow struct {
	account names.ClientAccount
	weight  float64
	// served is the work had, divided by the weight, on the class's virtual clock.
	served   float64
	requests heap[*request]
	// backlog is the cost that waits, by kind.
	backlog [kindCount]float64
	bytes   int64
	// usage is the work admitted, on the class's rising scale, so that older work
	// counts less; inUsage is the position in the heap by usage.
	usage         float64
	usagePosition int
	// lastAdmitted is when the account last had nothing waiting.
	lastAdmitted time.Time
	// waitingPosition is the position in the heap of waiting shares.
	waitingPosition int
	// container is the heap that the share is in, and position its place there.
	container *heap[*flow]
	position  int
	// backlogPosition is the position in the heap of backlogs.
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

// relativeBacklog is the backlog relative to the weight.
func (flow *flow) relativeBacklog() float64 {
	return float64(flow.requests.len()) / flow.weight
}

// relativeUsage is the usage relative to the weight.
func (flow *flow) relativeUsage() float64 { return flow.usage / flow.weight }

func (flow *flow) idle() bool { return flow.requests.len() == 0 }
