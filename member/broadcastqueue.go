package member

import (
	"math/bits"

	"github.com/basilkeel/basilkeel/names"
)

// broadcastQueue holds the instances whose records are to be sent to others, each
// a limited number of times.
type broadcastQueue struct {
	// levels holds the instances by how often they were sent. An element whose
	// level differs from the instance's count in transmits is stale and is skipped.
	levels    [][]names.Instance
	transmits map[names.Instance]int
	unlimited bool
}

func newBroadcastQueue(unlimited bool) broadcastQueue {
	return broadcastQueue{transmits: make(map[names.Instance]int), unlimited: unlimited}
}

// add queues instance as not sent yet.
func (broadcastQueue *broadcastQueue) add(instance names.Instance) {
	if transmits, known := broadcastQueue.transmits[instance]; !known || transmits > 0 {
		broadcastQueue.enqueue(instance, 0)
	}
}

func (broadcastQueue *broadcastQueue) drop(instance names.Instance) {
	delete(broadcastQueue.transmits, instance)
}

// take returns at most count instances, those sent least often first, and counts
// them as sent. It drops instances that have reached the transmit limit of a
// fleet of members.
func (broadcastQueue *broadcastQueue) take(count, members int) []names.Instance {
	taken := make([]names.Instance, 0, count)
	levels := make([]int, 0, count)
	for level := range broadcastQueue.levels {
		queue := broadcastQueue.levels[level]
		for len(queue) > 0 && len(taken) < count {
			if transmits, known := broadcastQueue.transmits[queue[0]]; known && transmits == level {
				taken = append(taken, queue[0])
				levels = append(levels, level+1)
				delete(broadcastQueue.transmits, queue[0])
			}
			queue = queue[1:]
		}
		broadcastQueue.levels[level] = queue
		if len(taken) == count {
			break
		}
	}
	for index, instance := range taken {
		broadcastQueue.enqueue(instance, levels[index])
	}
	broadcastQueue.expire(transmitLimit(members))
	return taken
}

func (broadcastQueue *broadcastQueue) enqueue(instance names.Instance, level int) {
	for len(broadcastQueue.levels) <= level {
		broadcastQueue.levels = append(broadcastQueue.levels, nil)
	}
	broadcastQueue.transmits[instance] = level
	broadcastQueue.levels[level] = append(broadcastQueue.levels[level], instance)
}

// expire drops the instances that were sent limit times.
func (broadcastQueue *broadcastQueue) expire(limit int) {
	if broadcastQueue.unlimited {
		return
	}
	for level := limit; level < len(broadcastQueue.levels); level++ {
		for _, instance := range broadcastQueue.levels[level] {
			if broadcastQueue.transmits[instance] == level {
				delete(broadcastQueue.transmits, instance)
			}
		}
		broadcastQueue.levels[level] = nil
	}
}

// transmitLimit returns how often a node sends one change. It is logarithmic in
// the number of members.
func transmitLimit(members int) int { return bits.Len(uint(members)) }
