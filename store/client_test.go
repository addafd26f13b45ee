package store_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/basilkeel/basilkeel/stand"
	"github.com/basilkeel/basilkeel/store"
)

const leaseTTL = 10 * time.Second

// fixture is a client connected to an in-process fake of the service.
type fixture struct {
	kv     *stand.KV
	clock  *clockwork.FakeClock
	client *store.Client
}

// newFixture starts the fake service on the loopback interface and connects a
// client to it.
func newFixture(t testing.TB) *fixture {
	t.Helper()
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	kv := stand.NewKV(stand.KVConfig{Clock: clock})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	client, err := store.NewClient(store.ClientConfig{Address: listener.Addr().String(), CallTimeout: time.Minute})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = kv.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		_ = client.Close()
		cancel()
		<-served
		clock.Advance(time.Hour)
		kv.WaitLateWrites()
	})
	return &fixture{kv: kv, clock: clock, client: client}
}

func TestClientContract(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("contract", func(t *testing.T) {
		for _, each := range []struct {
			name string
			run  func(g *WithT, fixture *fixture)
		}{
			{"swap and get", swapAndGet},
			{"list by prefix", listByPrefix},
			{"delete", deleteEntry},
			{"value too large", tooLarge},
			{"lease ends", leaseEnds},
			{"lease renewed and revoked", leaseRenewed},
			{"watch wakes", watchWakes},
			{"watch cut", watchCut},
			{"refused before it left", refused},
			{"hung write is unknown", hungWrite},
			{"lost answer is unknown", lostAnswer},
			{"late write loses to the repeat", lateWrite},
			{"share of answers lost", shareLost},
			{"slow", slow},
			{"throttled", throttled},
			{"counts", counts},
		} {
			t.Run(each.name, func(t *testing.T) { each.run(NewWithT(t), newFixture(t)) })
		}
	})
}

func swapAndGet(g *WithT, fixture *fixture) {
	ctx := context.Background()
	_, found, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())

	first, err := fixture.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("1")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("2")})
	var conflictError *store.ConflictError
	g.Expect(errors.As(err, &conflictError)).To(BeTrue())
	g.Expect(conflictError.Actual).To(Equal(first))

	second, err := fixture.client.Swap(ctx, store.Swap{Key: "a", Expected: first, Value: []byte("2")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(BeNumerically(">", first))
	entry, found, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(string(entry.Value())).To(Equal("2"))
	g.Expect(entry.Revision()).To(Equal(second))
}

func listByPrefix(g *WithT, fixture *fixture) {
	ctx := context.Background()
	for _, key := range []string{"b/2", "c", "b/1"} {
		_, err := fixture.client.Swap(ctx, store.Swap{Key: key, Value: []byte(key)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	entries, err := fixture.client.List(ctx, "b/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(2))
	g.Expect(entries[0].Key()).To(Equal("b/1"))
	g.Expect(entries[1].Key()).To(Equal("b/2"))
}

func deleteEntry(g *WithT, fixture *fixture) {
	ctx := context.Background()
	revision, err := fixture.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	var conflictError *store.ConflictError
	g.Expect(errors.As(fixture.client.Delete(ctx, "a", revision+1), &conflictError)).To(BeTrue())
	g.Expect(fixture.client.Delete(ctx, "a", revision)).To(Succeed())
	_, found, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
}

func tooLarge(g *WithT, fixture *fixture) {
	ctx := context.Background()
	_, err := fixture.client.Swap(ctx, store.Swap{Key: "a", Value: make([]byte, store.MaxValueBytes)})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "b", Value: make([]byte, store.MaxValueBytes+1)})
	var sizeError *store.SizeError
	g.Expect(errors.As(err, &sizeError)).To(BeTrue())
}

func leaseEnds(g *WithT, fixture *fixture) {
	ctx := context.Background()
	lease, err := fixture.client.Grant(ctx, leaseTTL)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "a", Lease: lease})
	g.Expect(err).NotTo(HaveOccurred())
	fixture.clock.Advance(leaseTTL - 1)
	_, found, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	fixture.clock.Advance(1)
	_, found, err = fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
	var leaseError *store.LeaseError
	g.Expect(errors.As(fixture.client.Renew(ctx, lease), &leaseError)).To(BeTrue())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "b", Lease: lease})
	g.Expect(errors.As(err, &leaseError)).To(BeTrue())
}

func leaseRenewed(g *WithT, fixture *fixture) {
	ctx := context.Background()
	lease, err := fixture.client.Grant(ctx, leaseTTL)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "a", Lease: lease})
	g.Expect(err).NotTo(HaveOccurred())
	fixture.clock.Advance(leaseTTL - 1)
	g.Expect(fixture.client.Renew(ctx, lease)).To(Succeed())
	fixture.clock.Advance(leaseTTL - 1)
	_, found, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(fixture.client.Revoke(ctx, lease)).To(Succeed())
	_, found, err = fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
}

// watchResult is the result of one watch.
type watchResult struct {
	entries []store.Entry
	err     error
}

func (fixture *fixture) watch(g *WithT, after store.Revision) <-chan watchResult {
	results := make(chan watchResult, 1)
	go func() {
		entries, _, err := fixture.client.Watch(context.Background(), "a", after)
		results <- watchResult{entries: entries, err: err}
	}()
	g.Eventually(func() int64 { return fixture.kv.Counts().Watching }, "1m").Should(BeEquivalentTo(1))
	return results
}

func watchWakes(g *WithT, fixture *fixture) {
	ctx := context.Background()
	first, err := fixture.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	results := fixture.watch(g, first)
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "b"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fixture.client.Delete(ctx, "a", first)).To(Succeed())
	var result watchResult
	g.Eventually(results, "1m").Should(Receive(&result))
	g.Expect(result.err).NotTo(HaveOccurred())
	g.Expect(result.entries).To(HaveLen(1))
	g.Expect(result.entries[0].Deleted()).To(BeTrue())
}

func watchCut(g *WithT, fixture *fixture) {
	results := fixture.watch(g, 0)
	fixture.kv.CutWatches()
	var result watchResult
	g.Eventually(results, "1m").Should(Receive(&result))
	var unavailableError *store.UnavailableError
	g.Expect(errors.As(result.err, &unavailableError)).To(BeTrue())
}

func refused(g *WithT, fixture *fixture) {
	ctx := context.Background()
	fixture.kv.SetFaults(stand.KVFaults{Refuse: true})
	_, err := fixture.client.Swap(ctx, store.Swap{Key: "a"})
	var unavailableError *store.UnavailableError
	g.Expect(errors.As(err, &unavailableError)).To(BeTrue(), "%v", err)
	g.Expect(fixture.kv.Counts().Total()).To(BeZero())
	fixture.kv.SetFaults(stand.KVFaults{})
	g.Eventually(func() error {
		_, err := fixture.client.Swap(ctx, store.Swap{Key: "a"})
		return err
	}, "1m").Should(Succeed(), "the client reconnects")
}

func hungWrite(g *WithT, fixture *fixture) {
	fixture.kv.SetFaults(stand.KVFaults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan error, 1)
	go func() {
		_, err := fixture.client.Swap(ctx, store.Swap{Key: "a"})
		results <- err
	}()
	g.Eventually(func() int64 { return fixture.kv.Counts().Calls[stand.KVSwap] }, "1m").Should(BeEquivalentTo(1))
	cancel()
	var err error
	g.Eventually(results, "1m").Should(Receive(&err))
	var unknownError *store.UnknownError
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
}

func lostAnswer(g *WithT, fixture *fixture) {
	ctx := context.Background()
	fixture.kv.SetFaults(stand.KVFaults{LoseAnswers: 1})
	_, err := fixture.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("1")})
	var unknownError *store.UnknownError
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "%v", err)
	entry, found, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(string(entry.Value())).To(Equal("1"))
}

func lateWrite(g *WithT, fixture *fixture) {
	ctx := context.Background()
	fixture.kv.SetFaults(stand.KVFaults{LateWrites: 1, LateDelay: time.Second})
	_, err := fixture.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("late")})
	var unknownError *store.UnknownError
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "%v", err)
	_, found, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("repeat")})
	g.Expect(err).NotTo(HaveOccurred())
	fixture.clock.Advance(time.Second)
	fixture.kv.WaitLateWrites()
	entry, _, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(entry.Value())).To(Equal("repeat"))
}

func shareLost(g *WithT, fixture *fixture) {
	fixture.kv.SetFaults(stand.KVFaults{LoseShare: 0.25})
	lost := 0
	for range 20 {
		var unknownError *store.UnknownError
		if _, err := fixture.client.Grant(context.Background(), leaseTTL); errors.As(err, &unknownError) {
			lost++
		}
	}
	g.Expect(lost).To(Equal(5))
}

func slow(g *WithT, fixture *fixture) {
	const delay = time.Hour
	fixture.kv.SetFaults(stand.KVFaults{Delay: delay})
	results := make(chan error, 1)
	go func() {
		_, _, err := fixture.client.Get(context.Background(), "a")
		results <- err
	}()
	// Two goroutines wait on the clock: the lease expiry ticker and the call.
	g.Expect(fixture.clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
	g.Expect(results).NotTo(Receive())
	fixture.clock.Advance(delay)
	g.Eventually(results, "1m").Should(Receive(BeNil()))
}

func throttled(g *WithT, fixture *fixture) {
	ctx := context.Background()
	fixture.kv.SetFaults(stand.KVFaults{WritesPerSecond: 2})
	var errs []error
	for range 3 {
		_, err := fixture.client.Grant(ctx, leaseTTL)
		errs = append(errs, err)
	}
	g.Expect(errs[:2]).To(HaveEach(BeNil()))
	var unavailableError *store.UnavailableError
	g.Expect(errors.As(errs[2], &unavailableError)).To(BeTrue(), "%v", errs[2])
	fixture.clock.Advance(time.Second)
	_, err := fixture.client.Grant(ctx, leaseTTL)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fixture.kv.Counts().Throttled).To(BeEquivalentTo(1))
}

func counts(g *WithT, fixture *fixture) {
	ctx := context.Background()
	_, _, err := fixture.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fixture.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = fixture.client.Watch(ctx, "a", 0)
	g.Expect(err).NotTo(HaveOccurred())
	counts := fixture.kv.Counts()
	g.Expect(counts.Calls).To(Equal(map[stand.KVKind]int64{stand.KVGet: 1, stand.KVSwap: 1, stand.KVWatch: 1}))
	g.Expect(counts.Writes()).To(BeEquivalentTo(1))
	g.Expect(counts.Total()).To(BeEquivalentTo(3))
}
