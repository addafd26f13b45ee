package stand

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/store"
)

// kvServer is the gRPC server of a [KV].
type kvServer struct {
	plat.UnimplementedKeyValueServer
	kv *KV
}

// Get implements [plat.KeyValueServer].
func (server *kvServer) Get(ctx context.Context, request *plat.GetRequest) (*plat.GetReply, error) {
	admitted, err := server.kv.admit(ctx, KVGet)
	if err != nil || !admitted {
		return &plat.GetReply{Failure: throttled()}, err
	}
	reply := &plat.GetReply{}
	server.kv.withTable(func(table *kvTable, now time.Time) {
		if entry, ok := table.get(now, request.GetKey()); ok {
			reply.Entry = entryToWire(entry)
		}
	})
	return reply, nil
}

// List implements [plat.KeyValueServer].
func (server *kvServer) List(ctx context.Context, request *plat.ListRequest) (*plat.ListReply, error) {
	admitted, err := server.kv.admit(ctx, KVList)
	if err != nil || !admitted {
		return &plat.ListReply{Failure: throttled()}, err
	}
	reply := &plat.ListReply{}
	server.kv.withTable(func(table *kvTable, now time.Time) {
		reply.Entries = entriesToWire(table.list(now, request.GetPrefix()))
	})
	return reply, nil
}

// Swap implements [plat.KeyValueServer].
func (server *kvServer) Swap(ctx context.Context, request *plat.SwapRequest) (*plat.SwapReply, error) {
	reply := &plat.SwapReply{}
	failure, err := server.write(ctx, KVSwap, func(table *kvTable, now time.Time) error {
		revision, err := table.swap(now, store.Swap{
			Key:      request.GetKey(),
			Expected: store.Revision(request.GetExpected()),
			Value:    request.GetValue(),
			Lease:    store.LeaseID{Number: request.GetLease()},
		})
		reply.Revision = int64(revision)
		return err
	})
	if err != nil {
		return nil, err
	}
	reply.Failure = failure
	return reply, nil
}

// Delete implements [plat.KeyValueServer].
func (server *kvServer) Delete(ctx context.Context, request *plat.DeleteRequest) (*plat.DeleteReply, error) {
	failure, err := server.write(ctx, KVDelete, func(table *kvTable, now time.Time) error {
		return table.remove(now, request.GetKey(), store.Revision(request.GetExpected()))
	})
	return &plat.DeleteReply{Failure: failure}, err
}

// Grant implements [plat.KeyValueServer].
func (server *kvServer) Grant(ctx context.Context, request *plat.GrantRequest) (*plat.GrantReply, error) {
	reply := &plat.GrantReply{}
	ttl := time.Duration(request.GetTtlMillis()) * time.Millisecond
	failure, err := server.write(ctx, KVGrant, func(table *kvTable, now time.Time) error {
		reply.Lease = table.grant(now, ttl).Number
		return nil
	})
	if err != nil {
		return nil, err
	}
	reply.Failure = failure
	return reply, nil
}

// Renew implements [plat.KeyValueServer].
func (server *kvServer) Renew(ctx context.Context, request *plat.RenewRequest) (*plat.RenewReply, error) {
	failure, err := server.write(ctx, KVRenew, func(table *kvTable, now time.Time) error {
		return table.renew(now, store.LeaseID{Number: request.GetLease()})
	})
	return &plat.RenewReply{Failure: failure}, err
}

// Revoke implements [plat.KeyValueServer].
func (server *kvServer) Revoke(ctx context.Context, request *plat.RevokeRequest) (*plat.RevokeReply, error) {
	failure, err := server.write(ctx, KVRevoke, func(table *kvTable, now time.Time) error {
		return table.revoke(now, store.LeaseID{Number: request.GetLease()})
	})
	return &plat.RevokeReply{Failure: failure}, err
}

// write runs one write of the given kind and converts its error to a failure in
// the reply.
func (server *kvServer) write(
	ctx context.Context, kind KVKind, apply func(table *kvTable, now time.Time) error,
) (*plat.Failure, error) {
	admitted, err := server.kv.admit(ctx, kind)
	if err != nil {
		return nil, err
	}
	if !admitted {
		return throttled(), nil
	}
	return failureToWire(server.kv.write(apply))
}

// Watch implements [plat.KeyValueServer].
func (server *kvServer) Watch(ctx context.Context, request *plat.WatchRequest) (*plat.WatchReply, error) {
	admitted, err := server.kv.admit(ctx, KVWatch)
	if err != nil || !admitted {
		return &plat.WatchReply{Failure: throttled()}, err
	}
	server.kv.addWatching(1)
	defer server.kv.addWatching(-1)
	wait := min(time.Duration(request.GetWaitMillis())*time.Millisecond, kvMaxPollSeconds*time.Second)
	timer := server.kv.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, changed, cut := server.changes(request)
		if len(reply.GetEntries()) > 0 {
			return reply, server.kv.waitWhileHanging(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-cut:
			return nil, status.Error(codes.Unavailable, "watch cut")
		case <-timer.Chan():
			return reply, server.kv.waitWhileHanging(ctx)
		case <-changed:
		}
	}
}

// changes returns the reply to a watch at this time and, for a watch that has
// nothing to report, the channels to wait for: changed is closed when the table
// changes, cut when the watch has to fail.
func (server *kvServer) changes(request *plat.WatchRequest) (reply *plat.WatchReply, changed, cut <-chan struct{}) {
	reply = &plat.WatchReply{}
	server.kv.withTable(func(table *kvTable, now time.Time) {
		reply.Entries = entriesToWire(table.changes(now, request.GetPrefix(), store.Revision(request.GetAfter())))
		reply.Revision = int64(table.revision)
	})
	server.kv.mu.Lock()
	defer server.kv.mu.Unlock()
	if int64(server.kv.table.revision) != reply.GetRevision() {
		again := make(chan struct{})
		close(again)
		return reply, again, server.kv.watchesCut
	}
	return reply, server.kv.tableChanged, server.kv.watchesCut
}

func (kv *KV) addWatching(delta int64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.counts.Watching += delta
}

// failureToWire converts an error of the table to a failure in the reply. It
// returns any other error unchanged.
func failureToWire(err error) (*plat.Failure, error) {
	var conflictError *store.ConflictError
	var leaseError *store.LeaseError
	var sizeError *store.SizeError
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &conflictError):
		conflict := &plat.Conflict{Actual: int64(conflictError.Actual)}
		return &plat.Failure{Reason: &plat.Failure_Conflict{Conflict: conflict}}, nil
	case errors.As(err, &leaseError):
		return &plat.Failure{Reason: &plat.Failure_LeaseEnded{LeaseEnded: &plat.LeaseEnded{}}}, nil
	case errors.As(err, &sizeError):
		return &plat.Failure{Reason: &plat.Failure_TooLarge{TooLarge: &plat.TooLarge{}}}, nil
	default:
		return nil, err
	}
}

func throttled() *plat.Failure {
	return &plat.Failure{Reason: &plat.Failure_Throttled{Throttled: &plat.Throttled{}}}
}

func entryToWire(entry store.Entry) *plat.Entry {
	return &plat.Entry{
		Key:      entry.Key(),
		Value:    entry.Value(),
		Revision: int64(entry.Revision()),
		Deleted:  entry.Deleted(),
	}
}

func entriesToWire(entries []store.Entry) []*plat.Entry {
	wired := make([]*plat.Entry, 0, len(entries))
	for _, entry := range entries {
		wired = append(wired, entryToWire(entry))
	}
	return wired
}
