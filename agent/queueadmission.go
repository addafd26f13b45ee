package agent

import (
	"context"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/queue"
	"github.com/basilkeel/basilkeel/wire"
)

// QueueAdmissionConfig configures a [QueueAdmission].
type QueueAdmissionConfig struct {
	Clock  *clock.Service
	Source config.Source
	Queue  queue.Config
}

// QueueAdmission is an [Admission] in the order of a [queue.Queue].
type QueueAdmission struct {
	config QueueAdmissionConfig

	// mu guards queue and attempts.
	mu       sync.Mutex
	queue    *queue.Queue
	attempts map[queue.ID]*queuedAttempt
}

var _ Admission = (*QueueAdmission)(nil)

// NewQueueAdmission returns an admission with an empty queue.
func NewQueueAdmission(config QueueAdmissionConfig) *QueueAdmission {
	return &QueueAdmission{config: config, queue: queue.New(config.Queue), attempts: make(map[queue.ID]*queuedAttempt)}
}

// Enter implements [Admission].
func (queueAdmission *QueueAdmission) Enter(ctx context.Context, work Work) (Permit, error) {
	ctx, cancel := context.WithCancel(ctx)
	queued := &queuedAttempt{decided: make(chan struct{}), cancel: cancel, id: work.ID(), admission: queueAdmission}
	if !queueAdmission.enqueue(queued, queueAdmission.item(work)) {
		cancel()
		return nil, &call.Refusal{Code: call.CodeConflict, Message: "the attempt is already here", Outcome: call.Unknown{}}
	}
	select {
	case <-queued.decided:
	case <-ctx.Done():
		queueAdmission.update(func(now time.Time) []queue.Action { return queueAdmission.queue.Cancel(now, queued.id) })
		// The cancellation closes decided, unless it was closed already.
		<-queued.decided
	}
	if queued.refusal != nil {
		cancel()
		return nil, queued.refusal
	}
	queued.ctx = ctx
	return queued, nil
}

// Load implements [Admission].
func (queueAdmission *QueueAdmission) Load() *wire.Load {
	queueAdmission.mu.Lock()
	defer queueAdmission.mu.Unlock()
	load := queueAdmission.queue.Load()
	return &wire.Load{
		Queued:           int64(load.Queued),
		Running:          int64(load.Running),
		QueuedTokens:     int64(load.QueuedTokens),
		FirstTokenMicros: load.FirstToken.Microseconds(),
		Draining:         load.Draining,
	}
}

// Tick refuses waiting work that can no longer meet its objective. It must be
// called periodically.
func (queueAdmission *QueueAdmission) Tick() {
	queueAdmission.update(queueAdmission.queue.Tick)
}

// enqueue adds an attempt to the queue. It returns false if the same attempt is
// already waiting or running.
func (queueAdmission *QueueAdmission) enqueue(queued *queuedAttempt, item queue.Item) bool {
	queueAdmission.mu.Lock()
	defer queueAdmission.mu.Unlock()
	if queueAdmission.attempts[queued.id] != nil {
		return false
	}
	queueAdmission.attempts[queued.id] = queued
	now := queueAdmission.config.Clock.Now()
	queueAdmission.apply(queueAdmission.queue.Offer(now, item))
	queueAdmission.startReady(now)
	return true
}

// update calls change, applies the actions that it returns, and starts what may
// run then.
func (queueAdmission *QueueAdmission) update(change func(now time.Time) []queue.Action) {
	queueAdmission.mu.Lock()
	defer queueAdmission.mu.Unlock()
	now := queueAdmission.config.Clock.Now()
	queueAdmission.apply(change(now))
	queueAdmission.startReady(now)
}

// startReady admits attempts as long as the queue has room. The caller holds mu.
func (queueAdmission *QueueAdmission) startReady(now time.Time) {
	for {
		item, ok := queueAdmission.queue.Start(now)
		if !ok {
			break
		}
		if queued := queueAdmission.attempts[item.ID]; queued != nil {
			queued.priority = queue.Priority(item.Kind)
			queued.decide(nil)
		}
	}
	queueAdmission.apply(queueAdmission.queue.Tick(now))
}

// apply carries out actions of the queue. The caller holds mu.
func (queueAdmission *QueueAdmission) apply(actions []queue.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Refuse:
			if queued := queueAdmission.attempts[action.ID]; queued != nil {
				delete(queueAdmission.attempts, action.ID)
				queued.decide(action.Refusal)
			}
		case queue.Stop:
			if queued := queueAdmission.attempts[action.ID]; queued != nil {
				queued.cancel()
			}
		case queue.Preempt:
			// A running batch request yields to others through its priority in the
			// engine.
		}
	}
}

func (queueAdmission *QueueAdmission) item(work Work) queue.Item {
	item := queue.Item{
		ID: work.ID(), Account: work.Account, Kind: work.Kind, Deadline: work.Deadline,
		Model: work.Model, PromptTokens: work.Prompt, MaxTokens: work.Output,
		CacheTokens: work.Prompt + work.Output, Bytes: work.Bytes,
	}
	snapshot := queueAdmission.config.Source.Current()
	if snapshot == nil {
		return item
	}
	item.Objective = snapshot.Objective(work.Kind)
	if account, known := snapshot.Account(work.Account); known {
		item.Weight = account.Weight()
	}
	return item
}

// finish releases the slot of an attempt that completed.
func (queueAdmission *QueueAdmission) finish(queued *queuedAttempt, output call.Tokens) {
	queueAdmission.update(func(now time.Time) []queue.Action {
		delete(queueAdmission.attempts, queued.id)
		return queueAdmission.queue.Finish(now, queued.id, output)
	})
}

// abort releases the slot of an attempt that did not complete.
func (queueAdmission *QueueAdmission) abort(queued *queuedAttempt, output call.Tokens) {
	queueAdmission.update(func(now time.Time) []queue.Action {
		delete(queueAdmission.attempts, queued.id)
		return queueAdmission.queue.Abort(now, queued.id, output)
	})
}

// progress reports the output of an attempt to the queue.
func (queueAdmission *QueueAdmission) progress(queued *queuedAttempt, output call.Tokens) {
	queueAdmission.mu.Lock()
	defer queueAdmission.mu.Unlock()
	queueAdmission.queue.Progress(queueAdmission.config.Clock.Now(), queued.id, output)
}
