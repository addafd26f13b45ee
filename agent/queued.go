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

// QueueAdmissionConfig carries what a [QueueAdmission] is built from.
type QueueAdmissionConfig struct {
	Clock  *clock.Service
	Source config.Source
	Queue  queue.Config
}

// QueueAdmission is the [Admission] that follows a [queue.Queue].
type QueueAdmission struct {
	config QueueAdmissionConfig

	// mu guards queue and entrants.
	mu       sync.Mutex
	queue    *queue.Queue
	entrants map[queue.ID]*entrant
}

var _ Admission = (*QueueAdmission)(nil)

// NewQueueAdmission returns an admission with an empty queue.
func NewQueueAdmission(config QueueAdmissionConfig) *QueueAdmission {
	return &QueueAdmission{config: config, queue: queue.New(config.Queue), entrants: make(map[queue.ID]*entrant)}
}

// Enter implements [Admission].
func (queueAdmission *QueueAdmission) Enter(ctx context.Context, work Work) (Permit, error) {
	ctx, cancel := context.WithCancel(ctx)
	entered := &entrant{decided: make(chan struct{}), cancel: cancel, id: work.ID(), queued: queueAdmission}
	if !queueAdmission.offer(entered, queueAdmission.item(work)) {
		cancel()
		return nil, &call.Refusal{Code: call.CodeConflict, Message: "the attempt is already here", Outcome: call.Unknown{}}
	}
	select {
	case <-entered.decided:
	case <-ctx.Done():
		queueAdmission.update(func(now time.Time) []queue.Action { return queueAdmission.queue.Cancel(now, entered.id) })
		// The cancellation decides at once, if nothing else has.
		<-entered.decided
	}
	if entered.refusal != nil {
		cancel()
		return nil, entered.refusal
	}
	entered.ctx = ctx
	return entered, nil
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

// Tick refuses what can no longer meet its objective. Call it often.
func (queueAdmission *QueueAdmission) Tick() {
	queueAdmission.update(queueAdmission.queue.Tick)
}

// offer puts an attempt in the queue. It returns false where it is there already.
func (queueAdmission *QueueAdmission) offer(entered *entrant, item queue.Item) bool {
	queueAdmission.mu.Lock()
	defer queueAdmission.mu.Unlock()
	if queueAdmission.entrants[entered.id] != nil {
		return false
	}
	queueAdmission.entrants[entered.id] = entered
	now := queueAdmission.config.Clock.Now()
	queueAdmission.act(queueAdmission.queue.Offer(now, item))
	queueAdmission.start(now)
	return true
}

// update changes the queue and does what follows from it.
func (queueAdmission *QueueAdmission) update(change func(now time.Time) []queue.Action) {
	queueAdmission.mu.Lock()
	defer queueAdmission.mu.Unlock()
	now := queueAdmission.config.Clock.Now()
	queueAdmission.act(change(now))
	queueAdmission.start(now)
}

// start lets run what the queue says. The caller holds mu.
func (queueAdmission *QueueAdmission) start(now time.Time) {
	for {
		item, ok := queueAdmission.queue.Start(now)
		if !ok {
			break
		}
		if entered := queueAdmission.entrants[item.ID]; entered != nil {
			entered.priority = queue.Priority(item.Kind)
			entered.decide(nil)
		}
	}
	queueAdmission.act(queueAdmission.queue.Tick(now))
}

// act does what the queue asks. The caller holds mu.
func (queueAdmission *QueueAdmission) act(actions []queue.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Refuse:
			if entered := queueAdmission.entrants[action.ID]; entered != nil {
				delete(queueAdmission.entrants, action.ID)
				entered.decide(action.Refusal)
			}
		case queue.Stop:
			if entered := queueAdmission.entrants[action.ID]; entered != nil {
				entered.cancel()
			}
		case queue.Preempt:
			// A batch request that runs yields by its priority in the engine.
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

// finish frees the place of an attempt that ran.
func (queueAdmission *QueueAdmission) finish(entered *entrant, output call.Tokens) {
	queueAdmission.update(func(now time.Time) []queue.Action {
		delete(queueAdmission.entrants, entered.id)
		return queueAdmission.queue.Finish(now, entered.id, output)
	})
}

// abort frees the place of an attempt that did not become whole.
func (queueAdmission *QueueAdmission) abort(entered *entrant, output call.Tokens) {
	queueAdmission.update(func(now time.Time) []queue.Action {
		delete(queueAdmission.entrants, entered.id)
		return queueAdmission.queue.Abort(now, entered.id, output)
	})
}

// progress tells the queue how far an attempt is.
func (queueAdmission *QueueAdmission) progress(entered *entrant, output call.Tokens) {
	queueAdmission.mu.Lock()
	defer queueAdmission.mu.Unlock()
	queueAdmission.queue.Progress(queueAdmission.config.Clock.Now(), entered.id, output)
}
