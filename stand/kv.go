package stand

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/store"
)

const (
	kvExpiryPeriod    = 100 * time.Millisecond
	kvMinKeepalive    = time.Second
	kvMaxRequestBytes = 2 * store.MaxValueBytes
	kvMaxPollSeconds  = 60
)

// KVConfig configures a [KV].
type KVConfig struct {
	// Clock times leases, delays and rates; nil means the system clock.
	Clock clockwork.Clock
	// Faults are the faults injected from the start.
	Faults KVFaults
	// Credentials secure the connections; nil means plaintext.
	Credentials credentials.TransportCredentials
}

// KV is an in-memory stand-in for the platform's key-value service. All
// methods are safe for concurrent use.
type KV struct {
	clock         clockwork.Clock
	credentials   credentials.TransportCredentials
	pendingWrites sync.WaitGroup

	// mu guards the fields below. It is locked before the mutex of a
	// toggleListener, never after it.
	mu          sync.Mutex
	table       *kvTable
	faults      KVFaults
	counts      KVCounts
	callBucket  tokenBucket
	writeBucket tokenBucket
	// lossAccumulator sums the fault LoseShare over the writes. When it reaches
	// one, the answer of that write is lost and the sum drops by one.
	lossAccumulator float64
	listeners       []*toggleListener
	// tableChanged is closed and replaced at each change of the table.
	tableChanged chan struct{}
	// faultsChanged is closed and replaced when faults are set.
	faultsChanged chan struct{}
	// watchesCut is closed and replaced to make waiting watches fail.
	watchesCut chan struct{}
}

// NewKV returns an empty service.
func NewKV(config KVConfig) *KV {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	return &KV{
		clock:         config.Clock,
		credentials:   config.Credentials,
		table:         newKVTable(),
		faults:        config.Faults,
		counts:        KVCounts{Calls: map[KVKind]int64{}},
		tableChanged:  make(chan struct{}),
		faultsChanged: make(chan struct{}),
		watchesCut:    make(chan struct{}),
	}
}

// Serve serves gRPC calls on listener until ctx ends. It closes the listener and
// returns when all its goroutines have ended.
func (kv *KV) Serve(ctx context.Context, listener net.Listener) error {
	toggleListener := newToggleListener(listener)
	kv.mu.Lock()
	toggleListener.setRefusing(kv.faults.Refuse)
	kv.listeners = append(kv.listeners, toggleListener)
	kv.mu.Unlock()

	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(kvMaxRequestBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: kvMinKeepalive, PermitWithoutStream: true}),
	}
	if kv.credentials != nil {
		options = append(options, grpc.Creds(kv.credentials))
	}
	server := grpc.NewServer(options...)
	plat.RegisterKeyValueServer(server, &kvServer{kv: kv})
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { <-ctx.Done(); server.Stop() })
	running.Go(func() { kv.expireLeases(ctx) })
	err := server.Serve(toggleListener)
	cancel()
	running.Wait()
	return err
}

// Faults returns the injected faults.
func (kv *KV) Faults() KVFaults {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.faults
}

// SetFaults replaces the injected faults.
func (kv *KV) SetFaults(faults KVFaults) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults = faults
	for _, toggleListener := range kv.listeners {
		toggleListener.setRefusing(faults.Refuse)
	}
	close(kv.faultsChanged)
	kv.faultsChanged = make(chan struct{})
}

// CutWatches makes every waiting watch fail.
func (kv *KV) CutWatches() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	close(kv.watchesCut)
	kv.watchesCut = make(chan struct{})
}

// Counts returns the call counts so far.
func (kv *KV) Counts() KVCounts {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	counts := kv.counts
	counts.Calls = make(map[KVKind]int64, len(kv.counts.Calls))
	for kind, count := range kv.counts.Calls {
		counts.Calls[kind] = count
	}
	return counts
}

// WaitLateWrites blocks until every late write has taken effect.
func (kv *KV) WaitLateWrites() { kv.pendingWrites.Wait() }

// expireLeases expires leases periodically until ctx ends, so that waiting
// watches see the deletions without another call.
func (kv *KV) expireLeases(ctx context.Context) {
	ticker := kv.clock.NewTicker(kvExpiryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			kv.withTable(func(table *kvTable, now time.Time) { table.expire(now) })
		}
	}
}

// withTable runs apply on the table and wakes the watches if the table changed.
func (kv *KV) withTable(apply func(table *kvTable, now time.Time)) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	before := kv.table.revision
	apply(kv.table, kv.clock.Now())
	if kv.table.revision != before {
		close(kv.tableChanged)
		kv.tableChanged = make(chan struct{})
	}
}

// admit counts a call, delays it as the faults demand and reports whether the
// call is within the rate limits.
func (kv *KV) admit(ctx context.Context, kind KVKind) (bool, error) {
	kv.mu.Lock()
	kv.counts.Calls[kind]++
	now := kv.clock.Now()
	admitted := kv.callBucket.allow(now, kv.faults.CallsPerSecond)
	if admitted && kind.writes() {
		admitted = kv.writeBucket.allow(now, kv.faults.WritesPerSecond)
	}
	if !admitted {
		kv.counts.Throttled++
	}
	delay := kv.faults.Delay
	kv.mu.Unlock()
	if !admitted {
		return false, nil
	}
	if delay > 0 {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-kv.clock.After(delay):
		}
	}
	return true, kv.waitWhileHanging(ctx)
}

// waitWhileHanging blocks while the fault Hang is set.
func (kv *KV) waitWhileHanging(ctx context.Context) error {
	for {
		kv.mu.Lock()
		hanging, steered := kv.faults.Hang, kv.faultsChanged
		kv.mu.Unlock()
		if !hanging {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-steered:
		}
	}
}

// write runs a write subject to the faults. It returns the error of the write, or
// a status error if the answer is lost or the write is late.
func (kv *KV) write(apply func(table *kvTable, now time.Time) error) error {
	if late, delay := kv.consumeLateWrite(); late {
		due := kv.clock.After(delay)
		kv.pendingWrites.Go(func() {
			<-due
			kv.withTable(func(table *kvTable, now time.Time) { _ = apply(table, now) })
		})
		return errAnswerLost
	}
	var err error
	kv.withTable(func(table *kvTable, now time.Time) { err = apply(table, now) })
	if kv.consumeAnswerLoss() {
		return errAnswerLost
	}
	return err
}

var errAnswerLost = status.Error(codes.Unavailable, "answer lost")

func (kv *KV) consumeLateWrite() (bool, time.Duration) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.faults.LateWrites == 0 {
		return false, 0
	}
	kv.faults.LateWrites--
	return true, kv.faults.LateDelay
}

func (kv *KV) consumeAnswerLoss() bool {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.faults.LoseAnswers > 0 {
		kv.faults.LoseAnswers--
		return true
	}
	kv.lossAccumulator += kv.faults.LoseShare
	if kv.lossAccumulator < 1 {
		return false
	}
	kv.lossAccumulator--
	return true
}
