package store

import (
	"context"
	"errors"
	"time"

	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/sent"
)

// errThrottled is the cause where the service refused a call over its rate.
var errThrottled = errors.New("over the rate of the service")

// exchange is one call on the service, with what its errors need.
type exchange struct {
	//nolint:containedctx // an exchange is one call and lives no longer
	ctx        context.Context
	cancel     context.CancelFunc
	mark       *sent.Tracker
	operation  string
	key        string
	expected   Revision
	lease      LeaseID
	valueBytes int
}

func newExchange(ctx context.Context, operation, key string, timeout time.Duration) *exchange {
	ctx, tracker := sent.WithTracker(ctx)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return &exchange{ctx: ctx, cancel: cancel, mark: tracker, operation: operation, key: key}
}

func (exchange *exchange) end() { exchange.cancel() }

// readError maps what a read gave to the errors of [Store].
func (exchange *exchange) readError(err error, failure *plat.Failure) error {
	if err != nil {
		return &UnavailableError{Operation: exchange.operation, Cause: exchange.cause(err)}
	}
	return exchange.failureError(failure)
}

// writeError maps what a write gave to the errors of [Store]. Without an
// answer the effect is unknown, unless the call certainly never left.
func (exchange *exchange) writeError(err error, failure *plat.Failure) error {
	if err == nil {
		return exchange.failureError(failure)
	}
	if exchange.mark.NeverSent() {
		return &UnavailableError{Operation: exchange.operation, Cause: exchange.cause(err)}
	}
	return &UnknownError{Operation: exchange.operation, Cause: exchange.cause(err)}
}

// cause prefers the context's error, which callers match with errors.Is.
func (exchange *exchange) cause(err error) error {
	if ctxErr := exchange.ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}

func (exchange *exchange) failureError(failure *plat.Failure) error {
	switch reason := failure.GetReason().(type) {
	case nil:
		return nil
	case *plat.Failure_Conflict:
		return &ConflictError{
			Key:      exchange.key,
			Expected: exchange.expected,
			Actual:   Revision(reason.Conflict.GetActual()),
		}
	case *plat.Failure_LeaseEnded:
		return &LeaseError{Lease: exchange.lease}
	case *plat.Failure_TooLarge:
		return &SizeError{Key: exchange.key, Bytes: exchange.valueBytes}
	default:
		return &UnavailableError{Operation: exchange.operation, Cause: errThrottled}
	}
}

func entryFromWire(entry *plat.Entry) Entry {
	return NewEntry(EntryConfig{
		Key:      entry.GetKey(),
		Value:    entry.GetValue(),
		Revision: Revision(entry.GetRevision()),
		Deleted:  entry.GetDeleted(),
	})
}

func entriesFromWire(wired []*plat.Entry) []Entry {
	entries := make([]Entry, 0, len(wired))
	for _, entry := range wired {
		entries = append(entries, entryFromWire(entry))
	}
	return entries
}
