package queue

import "time"

// Due returns the latest start of a waiting request; zero means none.
func (queue *Queue) Due(id ID) time.Time { return queue.requests[id].due }

// Accounts returns the number of accounts that the queue keeps state of.
func (queue *Queue) Accounts() int { return len(queue.online.flows) + len(queue.batch.flows) }
