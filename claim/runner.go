package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
)

// request is an operation submitted to a [runner].
type request struct {
	operation Operation
	replies   chan<- Reply
}

// runner does the I/O of one shard's [Writer]. One goroutine runs the writer.
// Calls to the key-value service have goroutines of their own: one for the load
// or write in progress, and one for each deletion.
type runner struct {
	host     *Host
	shard    int
	requests chan request
	// users counts the submissions that use the runner; Host.mu guards it.
	users int

	// The fields below belong to the goroutine of run.
	writer     *Writer
	inputs     chan Input
	replies    map[OperationID]chan<- Reply
	lastID     OperationID
	wake       <-chan time.Time
	storeCalls sync.WaitGroup
}

func newRunner(host *Host, shard int) *runner {
	return &runner{
		host:     host,
		shard:    shard,
		requests: make(chan request),
		writer:   NewWriter(host.writerConfig(shard)),
		inputs:   make(chan Input, 1),
		replies:  map[OperationID]chan<- Reply{},
	}
}

// run handles requests until ctx ends or none has arrived for IdleTimeout.
func (runner *runner) run(ctx context.Context) {
	defer runner.storeCalls.Wait()
	idle := runner.host.config.Clock.After(runner.host.config.IdleTimeout)
	active := false
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-runner.requests:
			active = true
			runner.lastID++
			runner.replies[runner.lastID] = request.replies
			runner.step(ctx, Submit{ID: runner.lastID, Operation: request.operation})
		case input := <-runner.inputs:
			runner.step(ctx, input)
		case <-runner.wake:
			runner.step(ctx, Tick{})
		case <-idle:
			if !active && runner.writer.Idle() && runner.host.retire(runner) {
				return
			}
			active = false
			idle = runner.host.config.Clock.After(runner.host.config.IdleTimeout)
		}
	}
}

// step passes one input to the writer and carries out the actions it returns.
func (runner *runner) step(ctx context.Context, input Input) {
	now := runner.host.config.Clock.Now()
	for _, action := range runner.writer.Step(now, input) {
		switch action := action.(type) {
		case Load:
			runner.storeCalls.Go(func() { runner.inputs <- runner.load(ctx, action) })
		case Write:
			runner.storeCalls.Go(func() { runner.inputs <- runner.write(ctx, action) })
		case DeleteKeys:
			runner.storeCalls.Go(func() { runner.deleteKeys(ctx, action) })
		case Respond:
			runner.replies[action.ID] <- action.Reply
			delete(runner.replies, action.ID)
		case Wake:
			runner.wake = runner.host.config.Clock.After(action.At.Sub(now))
		}
	}
}

func (runner *runner) load(ctx context.Context, action Load) Input {
	err := runner.host.layout.check(ctx)
	if err == nil {
		var loaded Loaded
		if loaded, err = load(ctx, runner.host.config.Store, runner.shard, action.From); err == nil {
			return loaded
		}
	}
	runner.logLoadError(err)
	return LoadFailed{}
}

func (runner *runner) write(ctx context.Context, action Write) Input {
	writeResult := newWriteResult(runner.host.config.Store.Swap(ctx, action.Swap))
	if _, failed := writeResult.(NotApplied); failed {
		event.ClaimStoreFailed.Log(runner.host.config.Logger, logrus.Fields{"shard": runner.shard})
	}
	return Written{Result: writeResult}
}

// deleteKeys deletes keys and ignores failures.
func (runner *runner) deleteKeys(ctx context.Context, action DeleteKeys) {
	for _, key := range action.Keys {
		entry, found, err := runner.host.config.Store.Get(ctx, key)
		if err != nil || !found {
			continue
		}
		_ = runner.host.config.Store.Delete(ctx, key, entry.Revision())
	}
}

func (runner *runner) logLoadError(err error) {
	fields := logrus.Fields{"shard": runner.shard, "error": err.Error()}
	var layoutError *LayoutError
	var formatError *FormatError
	switch {
	case errors.As(err, &layoutError):
		event.ClaimLayoutDiffers.Log(runner.host.config.Logger, fields)
	case errors.As(err, &formatError):
		event.ClaimUnreadable.Log(runner.host.config.Logger, fields)
	default:
		event.ClaimStoreFailed.Log(runner.host.config.Logger, fields)
	}
}
