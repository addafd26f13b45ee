package member

import (
	"context"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/event"
)

// leaveRetryPeriod is the time between two attempts to push the leaving mark.
const leaveRetryPeriod = 200 * time.Millisecond

// Leave marks this instance as leaving and pushes the mark to its neighbours on
// the rings. It returns once at least half of them have acknowledged it, or ctx
// ends. Call it before the listener for peers closes.
func (service *Service) Leave(ctx context.Context) {
	service.step(Leave{})
	addresses, record := service.neighbours()
	unacknowledged := addresses
	for len(unacknowledged) > 0 {
		unacknowledged = service.pushToAll(ctx, unacknowledged, record)
		if len(unacknowledged) <= len(addresses)/2 {
			return
		}
		select {
		case <-ctx.Done():
			event.MemberLeaveUnheard.Log(service.config.Logger, nil)
			return
		case <-service.config.Clock.After(leaveRetryPeriod):
		}
	}
}

// pushToAll pushes a record to all addresses concurrently and returns those that
// did not acknowledge it.
func (service *Service) pushToAll(ctx context.Context, addresses []string, record Record) []string {
	acknowledged := make([]bool, len(addresses))
	var pushes sync.WaitGroup
	for index, address := range addresses {
		pushes.Go(func() { acknowledged[index] = service.push(ctx, address, []Record{record}) })
	}
	pushes.Wait()
	var unacknowledged []string
	for index, address := range addresses {
		if !acknowledged[index] {
			unacknowledged = append(unacknowledged, address)
		}
	}
	return unacknowledged
}

// neighbours returns the addresses of this instance's neighbours on the rings,
// and its own record.
func (service *Service) neighbours() ([]string, Record) {
	service.mu.Lock()
	defer service.mu.Unlock()
	var addresses []string
	for _, instance := range service.node.Neighbours() {
		if instance == "" || instance == service.config.Self.Instance() {
			continue
		}
		if record, known := service.node.Record(instance); known {
			addresses = append(addresses, record.Member.Address())
		}
	}
	return addresses, service.node.Self()
}
