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
	testAttempts = 400
)

func newTestAdmission() *QueueAdmission {
	return NewQueueAdmission(QueueAdmissionConfig{
		Clock: clock.NewService(clock.ServiceConfig{}), Source: &config.AtomicSource{},
		Queue: queue.Config{Slots: testSlots, MaxPreemptions: noPreemption},
	})
}

// noPreemption keeps the queue from preempting running batch work.
const noPreemption = -1

// TestQueueAdmissionRunsEachOnce sends many concurrent attempts, some of which are
// cancelled. Each must either run or be refused, and never more than the slots
// allow may run at once.
func TestQueueAdmissionRunsEachOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	queueAdmission := newTestAdmission()
	var running, peak, ran, refused atomic.Int64
	var group sync.WaitGroup
	for number := range testAttempts {
		group.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if number%5 == 0 {
				cancel()
			}
			permit, err := queueAdmission.Enter(ctx, testWork(number))
			if err != nil {
				expectNotRun(t, err)
				refused.Add(1)
				return
			}
			ran.Add(1)
			now := running.Add(1)
			for previous := peak.Load(); now > previous && !peak.CompareAndSwap(previous, now); previous = peak.Load() {
			}
			permit.Progress(1)
			running.Add(-1)
			if number%2 == 0 {
				permit.Abort(1)
				return
			}
			permit.Complete(1)
		})
	}
	group.Wait()
	if peak.Load() > testSlots {
		t.Errorf("%d ran at once, expected at most %d", peak.Load(), testSlots)
	}
	if ran.Load()+refused.Load() != testAttempts || ran.Load() < testAttempts*4/5 {
		t.Errorf("%d ran and %d were refused of %d", ran.Load(), refused.Load(), testAttempts)
	}
	if load := queueAdmission.Load(); load.GetRunning() != 0 || load.GetQueued() != 0 {
		t.Errorf("load after all attempts ended: %v", load)
	}
}

// TestQueueAdmissionRefusesDuplicate sends an attempt twice. The second must be
// refused, and the first continue.
func TestQueueAdmissionRefusesDuplicate(t *testing.T) {
	queueAdmission := newTestAdmission()
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
	permit.Complete(1)
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
	if _, notRun := refusal.OutcomeOrUnknown().(call.NotRun); !notRun {
		t.Errorf("work that was never admitted is reported as %v", refusal.OutcomeOrUnknown())
	}
}
