package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/queue"
)

const (
	testSlots    = 4
	testEntrants = 400
)

func newTestQueued() *QueueAdmission {
	return NewQueueAdmission(QueueAdmissionConfig{
		Clock: clock.NewService(clock.ServiceConfig{}), Source: &config.Holder{},
		Queue: queue.Config{Slots: testSlots, Preemptions: noPreemption},
	})
}

// noPreemption keeps the queue from asking for slots of running batch work.
const noPreemption = -1

// TestQueuedLetsEachThroughOnce sends many attempts at once, some of whose
// callers go, and counts what runs.
func TestQueuedLetsEachThroughOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	queueAdmission := newTestQueued()
	var running, most, ran, gone atomic.Int64
	var group sync.WaitGroup
	for number := range testEntrants {
		group.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if number%5 == 0 {
				cancel()
			}
			permit, err := queueAdmission.Enter(ctx, testWork(number))
			if err != nil {
				expectNotRun(t, err)
				gone.Add(1)
				return
			}
			ran.Add(1)
			now := running.Add(1)
			for held := most.Load(); now > held && !most.CompareAndSwap(held, now); held = most.Load() {
			}
			permit.Progress(1)
			running.Add(-1)
			if number%2 == 0 {
				permit.Abort(1)
				return
			}
			permit.Release(1)
		})
	}
	group.Wait()
	if most.Load() > testSlots {
		t.Errorf("%d ran at once, at most %d may", most.Load(), testSlots)
	}
	if ran.Load()+gone.Load() != testEntrants || ran.Load() < testEntrants*4/5 {
		t.Errorf("%d ran and %d were refused of %d", ran.Load(), gone.Load(), testEntrants)
	}
	if load := queueAdmission.Load(); load.GetRunning() != 0 || load.GetQueued() != 0 {
		t.Errorf("left over: %v", load)
	}
}

// TestQueuedRefusesTheSameAttempt keeps the first of two equal attempts.
func TestQueuedRefusesTheSameAttempt(t *testing.T) {
	queueAdmission := newTestQueued()
	permit, err := queueAdmission.Enter(t.Context(), testWork(1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = queueAdmission.Enter(t.Context(), testWork(1))
	var refusal *call.Refusal
	if !errors.As(err, &refusal) || refusal.Code != call.CodeConflict {
		t.Errorf("the second attempt got %v", err)
	}
	if permit.Context().Err() != nil {
		t.Error("the second attempt ended the first")
	}
	permit.Release(1)
}

func testWork(number int) Work {
	return Work{
		Request: names.Request(fmt.Sprint("request-", number)), Attempt: 1, Account: names.ClientAccount(fmt.Sprint("account-", number%7)),
		Kind: call.Kinds()[number%len(call.Kinds())], Prompt: 1, Output: 1, Deadline: time.Now().Add(time.Hour),
	}
}

func expectNotRun(t *testing.T, err error) {
	t.Helper()
	var refusal *call.Refusal
	if !errors.As(err, &refusal) {
		t.Errorf("not a refusal: %v", err)
		return
	}
	if _, notRun := refusal.Result().(call.NotRun); !notRun {
		t.Errorf("work that was never let through is said to be %v", refusal.Result())
	}
}
