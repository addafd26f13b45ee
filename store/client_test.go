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

// setting is a client before a stand-in service.
type setting struct {
	kv     *stand.KV
	clock  *clockwork.FakeClock
	client *store.Client
}

// newSetting starts a stand-in on loopback and a client of it.
func newSetting(t testing.TB) *setting {
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
	return &setting{kv: kv, clock: clock, client: client}
}

func TestClientContract(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("contract", func(t *testing.T) {
		for _, each := range []struct {
			name string
			run  func(g *WithT, setting *setting)
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
			t.Run(each.name, func(t *testing.T) { each.run(NewWithT(t), newSetting(t)) })
		}
	})
}

func swapAndGet(g *WithT, setting *setting) {
	ctx := context.Background()
	_, found, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())

	first, err := setting.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("1")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("2")})
	var conflictError *store.ConflictError
	g.Expect(errors.As(err, &conflictError)).To(BeTrue())
	g.Expect(conflictError.Actual).To(Equal(first))

	second, err := setting.client.Swap(ctx, store.Swap{Key: "a", Expected: first, Value: []byte("2")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(BeNumerically(">", first))
	entry, found, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(string(entry.Value())).To(Equal("2"))
	g.Expect(entry.Revision()).To(Equal(second))
}

func listByPrefix(g *WithT, setting *setting) {
	ctx := context.Background()
	for _, key := range []string{"b/2", "c", "b/1"} {
		_, err := setting.client.Swap(ctx, store.Swap{Key: key, Value: []byte(key)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	entries, err := setting.client.List(ctx, "b/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(2))
	g.Expect(entries[0].Key()).To(Equal("b/1"))
	g.Expect(entries[1].Key()).To(Equal("b/2"))
}

func deleteEntry(g *WithT, setting *setting) {
	ctx := context.Background()
	revision, err := setting.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	var conflictError *store.ConflictError
	g.Expect(errors.As(setting.client.Delete(ctx, "a", revision+1), &conflictError)).To(BeTrue())
	g.Expect(setting.client.Delete(ctx, "a", revision)).To(Succeed())
	_, found, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
}

func tooLarge(g *WithT, setting *setting) {
	ctx := context.Background()
	_, err := setting.client.Swap(ctx, store.Swap{Key: "a", Value: make([]byte, store.MaxValueBytes)})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "b", Value: make([]byte, store.MaxValueBytes+1)})
	var sizeError *store.SizeError
	g.Expect(errors.As(err, &sizeError)).To(BeTrue())
}

func leaseEnds(g *WithT, setting *setting) {
	ctx := context.Background()
	lease, err := setting.client.Grant(ctx, leaseTTL)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "a", Lease: lease})
	g.Expect(err).NotTo(HaveOccurred())
	setting.clock.Advance(leaseTTL - 1)
	_, found, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	setting.clock.Advance(1)
	_, found, err = setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
	var leaseError *store.LeaseError
	g.Expect(errors.As(setting.client.Renew(ctx, lease), &leaseError)).To(BeTrue())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "b", Lease: lease})
	g.Expect(errors.As(err, &leaseError)).To(BeTrue())
}

func leaseRenewed(g *WithT, setting *setting) {
	ctx := context.Background()
	lease, err := setting.client.Grant(ctx, leaseTTL)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "a", Lease: lease})
	g.Expect(err).NotTo(HaveOccurred())
	setting.clock.Advance(leaseTTL - 1)
	g.Expect(setting.client.Renew(ctx, lease)).To(Succeed())
	setting.clock.Advance(leaseTTL - 1)
	_, found, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(setting.client.Revoke(ctx, lease)).To(Succeed())
	_, found, err = setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
}

// watched is what a watch returned.
type watched struct {
	entries []store.Entry
	err     error
}

func (setting *setting) watch(g *WithT, after store.Revision) <-chan watched {
	results := make(chan watched, 1)
	go func() {
		entries, _, err := setting.client.Watch(context.Background(), "a", after)
		results <- watched{entries: entries, err: err}
	}()
	g.Eventually(func() int64 { return setting.kv.Counts().Watching }, "1m").Should(BeEquivalentTo(1))
	return results
}

func watchWakes(g *WithT, setting *setting) {
	ctx := context.Background()
	first, err := setting.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	results := setting.watch(g, first)
	_, err = setting.client.Swap(ctx, store.Swap{Key: "b"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(setting.client.Delete(ctx, "a", first)).To(Succeed())
	var result watched
	g.Eventually(results, "1m").Should(Receive(&result))
	g.Expect(result.err).NotTo(HaveOccurred())
	g.Expect(result.entries).To(HaveLen(1))
	g.Expect(result.entries[0].Deleted()).To(BeTrue())
}

func watchCut(g *WithT, setting *setting) {
	results := setting.watch(g, 0)
	setting.kv.CutWatches()
	var result watched
	g.Eventually(results, "1m").Should(Receive(&result))
	var unavailableError *store.UnavailableError
	g.Expect(errors.As(result.err, &unavailableError)).To(BeTrue())
}

func refused(g *WithT, setting *setting) {
	ctx := context.Background()
	setting.kv.SetFaults(stand.KVFaults{Refuse: true})
	_, err := setting.client.Swap(ctx, store.Swap{Key: "a"})
	var unavailableError *store.UnavailableError
	g.Expect(errors.As(err, &unavailableError)).To(BeTrue(), "%v", err)
	g.Expect(setting.kv.Counts().Total()).To(BeZero())
	setting.kv.SetFaults(stand.KVFaults{})
	g.Eventually(func() error {
		_, err := setting.client.Swap(ctx, store.Swap{Key: "a"})
		return err
	}, "1m").Should(Succeed(), "the client reconnects")
}

func hungWrite(g *WithT, setting *setting) {
	setting.kv.SetFaults(stand.KVFaults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan error, 1)
	go func() {
		_, err := setting.client.Swap(ctx, store.Swap{Key: "a"})
		results <- err
	}()
	g.Eventually(func() int64 { return setting.kv.Counts().Calls[stand.KVSwap] }, "1m").Should(BeEquivalentTo(1))
	cancel()
	var err error
	g.Eventually(results, "1m").Should(Receive(&err))
	var unknownError *store.UnknownError
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
}

func lostAnswer(g *WithT, setting *setting) {
	ctx := context.Background()
	setting.kv.SetFaults(stand.KVFaults{LoseAnswers: 1})
	_, err := setting.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("1")})
	var unknownError *store.UnknownError
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "%v", err)
	entry, found, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(string(entry.Value())).To(Equal("1"))
}

func lateWrite(g *WithT, setting *setting) {
	ctx := context.Background()
	setting.kv.SetFaults(stand.KVFaults{LateWrites: 1, LateDelay: time.Second})
	_, err := setting.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("late")})
	var unknownError *store.UnknownError
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "%v", err)
	_, found, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "a", Value: []byte("repeat")})
	g.Expect(err).NotTo(HaveOccurred())
	setting.clock.Advance(time.Second)
	setting.kv.WaitLateWrites()
	entry, _, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(entry.Value())).To(Equal("repeat"))
}

func shareLost(g *WithT, setting *setting) {
	setting.kv.SetFaults(stand.KVFaults{LoseShare: 0.25})
	lost := 0
	for range 20 {
		var unknownError *store.UnknownError
		if _, err := setting.client.Grant(context.Background(), leaseTTL); errors.As(err, &unknownError) {
			lost++
		}
	}
	g.Expect(lost).To(Equal(5))
}

func slow(g *WithT, setting *setting) {
	const delay = time.Hour
	setting.kv.SetFaults(stand.KVFaults{Delay: delay})
	results := make(chan error, 1)
	go func() {
		_, _, err := setting.client.Get(context.Background(), "a")
		results <- err
	}()
	// The ticker that ends leases waits, and the call.
	g.Expect(setting.clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
	g.Expect(results).NotTo(Receive())
	setting.clock.Advance(delay)
	g.Eventually(results, "1m").Should(Receive(BeNil()))
}

func throttled(g *WithT, setting *setting) {
	ctx := context.Background()
	setting.kv.SetFaults(stand.KVFaults{WritesPerSecond: 2})
	var errs []error
	for range 3 {
		_, err := setting.client.Grant(ctx, leaseTTL)
		errs = append(errs, err)
	}
	g.Expect(errs[:2]).To(HaveEach(BeNil()))
	var unavailableError *store.UnavailableError
	g.Expect(errors.As(errs[2], &unavailableError)).To(BeTrue(), "%v", errs[2])
	setting.clock.Advance(time.Second)
	_, err := setting.client.Grant(ctx, leaseTTL)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(setting.kv.Counts().Throttled).To(BeEquivalentTo(1))
}

func counts(g *WithT, setting *setting) {
	ctx := context.Background()
	_, _, err := setting.client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = setting.client.Swap(ctx, store.Swap{Key: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = setting.client.Watch(ctx, "a", 0)
	g.Expect(err).NotTo(HaveOccurred())
	counts := setting.kv.Counts()
	g.Expect(counts.Calls).To(Equal(map[stand.KVKind]int64{stand.KVGet: 1, stand.KVSwap: 1, stand.KVWatch: 1}))
	g.Expect(counts.Writes()).To(BeEquivalentTo(1))
	g.Expect(counts.Total()).To(BeEquivalentTo(3))
}
