package store

import (
	"context"
	"errors"
	"time"

	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/sent"
)

// errThrottled is the cause when the service refused a call because of its rate
// limit.
var errThrottled = errors.New("rate limit of the service exceeded")

var (
	errUnexplained = errors.New("the service refused the call for an unknown reason")
	errNoRevision  = errors.New("the reply has no revision")
	errNoLease     = errors.New("the reply has no lease")
)

// remoteCall is one call to the service, with the details that its errors report.
type remoteCall struct {
	//nolint:containedctx // a remoteCall does not outlive its call
	ctx        context.Context
	cancel     context.CancelFunc
	mark       *sent.Tracker
	operation  string
	key        string
	expected   Revision
	lease      LeaseID
	valueBytes int
}

func newRemoteCall(ctx context.Context, operation, key string, timeout time.Duration) *remoteCall {
	ctx, tracker := sent.WithTracker(ctx)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return &remoteCall{ctx: ctx, cancel: cancel, mark: tracker, operation: operation, key: key}
}

func (remoteCall *remoteCall) end() { remoteCall.cancel() }

// readError maps the result of a read to the errors of [Store].
func (remoteCall *remoteCall) readError(err error, failure *plat.Failure) error {
	if err != nil {
		return &UnavailableError{Operation: remoteCall.operation, Cause: remoteCall.cause(err)}
	}
	if isUnexplained(failure) {
		return &UnavailableError{Operation: remoteCall.operation, Cause: errUnexplained}
	}
	return remoteCall.failureError(failure)
}

// isUnexplained reports whether failure has no reason, such as one that this version does
// not know.
func isUnexplained(failure *plat.Failure) bool { return failure != nil && failure.GetReason() == nil }

// writeError maps the result of a write to the errors of [Store]. Without a
// reply the effect is unknown, unless the call was certainly never sent.
func (remoteCall *remoteCall) writeError(err error, failure *plat.Failure) error {
	if err == nil && isUnexplained(failure) {
		return remoteCall.unknown(errUnexplained)
	}
	if err == nil {
		return remoteCall.failureError(failure)
	}
	if remoteCall.mark.NeverSent() {
		return &UnavailableError{Operation: remoteCall.operation, Cause: remoteCall.cause(err)}
	}
	return &UnknownError{Operation: remoteCall.operation, Cause: remoteCall.cause(err)}
}

// cause returns the context's error if there is one, since callers match it
// with errors.Is, and err otherwise.
func (remoteCall *remoteCall) cause(err error) error {
	if ctxErr := remoteCall.ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}

// unknown returns the error of a write whose reply lacks what it announces.
func (remoteCall *remoteCall) unknown(cause error) error {
	return &UnknownError{Operation: remoteCall.operation, Cause: cause}
}

func (remoteCall *remoteCall) failureError(failure *plat.Failure) error {
	switch reason := failure.GetReason().(type) {
	case nil:
		return nil
	case *plat.Failure_Conflict:
		return &ConflictError{
			Key:      remoteCall.key,
			Expected: remoteCall.expected,
			Actual:   Revision(reason.Conflict.GetActual()),
		}
	case *plat.Failure_LeaseEnded:
		return &LeaseError{Lease: remoteCall.lease}
	case *plat.Failure_TooLarge:
		return &SizeError{Key: remoteCall.key, Bytes: remoteCall.valueBytes}
	default:
		return &UnavailableError{Operation: remoteCall.operation, Cause: errThrottled}
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

func entriesFromWire(wireEntries []*plat.Entry) []Entry {
	entries := make([]Entry, 0, len(wireEntries))
	for _, entry := range wireEntries {
		entries = append(entries, entryFromWire(entry))
	}
	return entries
}
