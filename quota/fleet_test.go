package quota

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// fleet is several instances with one fake clock that communicate by gRPC on the
// loopback interface.
type fleet struct {
	t       testing.TB
	clock   *clockwork.FakeClock
	service *clock.Service
	store   *fakeStore
	members []*member
	// mu guards live and known.
	mu   sync.Mutex
	live []Peer
	// known are instances that are not live but may still run.
	known  map[names.Instance]bool
	oracle oracle
	began  time.Time
}

// member is one instance of a [fleet].
type member struct {
	peer   Peer
	keeper *Keeper
	client *Client
	server *grpc.Server
	remote *RemoteTransport
}

func newFleet(t testing.TB, limits fixedLimits, members int) *fleet {
	fakeClock := clockwork.NewFakeClock()
	fleet := &fleet{
		t:       t,
		clock:   fakeClock,
		service: clock.NewService(clock.ServiceConfig{Clock: fakeClock}),
		store:   newFakeStore(),
		oracle:  oracle{limit: limits.limit},
		began:   fakeClock.Now(),
	}
	for index := range members {
		fleet.members = append(fleet.members, fleet.start(index, limits))
	}
	return fleet
}

func (fleet *fleet) start(index int, limits fixedLimits) *member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(fleet.t).Expect(err).NotTo(HaveOccurred())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	peer := Peer{
		Instance: names.Instance(fmt.Sprintf("instance%d", index)),
		Address:  listener.Addr().String(),
		Domain:   names.FailureDomain(fmt.Sprintf("domain%d", index)),
	}
	remoteTransport := NewRemoteTransport(RemoteTransportConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	keeper := NewKeeper(KeeperConfig{
		Self: peer, Peers: fleet, Store: fleet.store, Transport: remoteTransport, Limits: limits,
		Clock: fleet.service, Logger: logger, StoreTimeout: time.Minute, VoteTimeout: time.Minute,
	})
	client := NewClient(ClientConfig{
		Self: peer, Peers: fleet, Transport: remoteTransport, Keeper: keeper, Limits: limits,
		Clock: fleet.service, ExchangeTimeout: time.Minute,
	})
	server := grpc.NewServer()
	wire.RegisterQuotaServer(server, NewServer(ServerConfig{Keeper: keeper}))
	go func() { _ = server.Serve(listener) }()
	fleet.t.Cleanup(func() {
		server.Stop()
		remoteTransport.Close()
	})
	fleet.live = append(fleet.live, peer)
	return &member{peer: peer, keeper: keeper, client: client, server: server, remote: remoteTransport}
}

// Live implements [Peers].
func (fleet *fleet) Live() []Peer {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return append([]Peer(nil), fleet.live...)
}

// MayBeRunning implements [LivenessChecker].
func (fleet *fleet) MayBeRunning(instance names.Instance) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.known[instance]
}

// setKnown sets the instances that are not live but may still run.
func (fleet *fleet) setKnown(known map[names.Instance]bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.known = known
}

// kill stops an instance without notice. It stays listed until removeFromList is
// called.
func (fleet *fleet) kill(index int) {
	fleet.members[index].server.Stop()
	fleet.members = append(fleet.members[:index], fleet.members[index+1:]...)
}

// removeFromList removes an instance from the list of live ones.
func (fleet *fleet) removeFromList(index int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.live = append(fleet.live[:index], fleet.live[index+1:]...)
}

// step advances the clock by seconds and runs the periodic work of every
// instance.
func (fleet *fleet) step(seconds int) {
	for range 2 * seconds {
		fleet.clock.Advance(FlushPeriod)
		for _, member := range fleet.members {
			member.keeper.Tick(context.Background(), fleet.service.Now())
			member.client.Flush(context.Background(), fleet.service.Now())
		}
	}
}

// BenchmarkStoreCalls reports the calls per second on the platform's service by
// three instances that hold every seat, and the time until the seats of a killed
// instance are taken over.
func BenchmarkStoreCalls(b *testing.B) {
	for b.Loop() {
		fleet := newFleet(b, portionLimit, 3)
		fleet.step(12)
		reads, writes := fleet.store.calls()
		fleet.step(60)
		readsAfter, writesAfter := fleet.store.calls()
		b.ReportMetric(float64(readsAfter-reads)/60, "reads/s")
		b.ReportMetric(float64(writesAfter-writes)/60, "writes/s")
		fleet.kill(0)
		fleet.removeFromList(0)
		seconds := 0
		for ; fleet.held() < Shards*Seats && seconds < 60; seconds++ {
			fleet.step(1)
		}
		b.ReportMetric(float64(seconds), "takeover_s")
	}
}

func (fleet *fleet) held() int {
	held := 0
	for _, member := range fleet.members {
		held += member.keeper.HeldSeats()
	}
	return held
}

// reserve reserves tokens at one entry and records them in the oracle.
func (fleet *fleet) reserve(index int, tokens int) (*Reservation, error) {
	reservation, err := fleet.members[index].client.Reserve(context.Background(), fuzzAccount, tokenCount(tokens))
	if err == nil {
		fleet.oracle.admit(fleet.clock.Since(fleet.began), tokenCount(tokens))
	}
	return reservation, err
}

// spend reserves tokens repeatedly at each entry until it refuses, and returns
// the sum.
func (fleet *fleet) spend(tokens int) int {
	granted := 0
	for index := range fleet.members {
		for {
			if _, err := fleet.reserve(index, tokens); err != nil {
				break
			}
			granted += tokens
		}
	}
	return granted
}

// BenchmarkReserve measures a reservation from spendable tokens and its
// settlement.
func BenchmarkReserve(b *testing.B) {
	fleet := newFleet(b, fixedLimits{limit: Limit{Rate: 1e9, Burst: 1e9}}, 1)
	fleet.step(12)
	client := fleet.members[0].client
	first, err := client.Reserve(b.Context(), fuzzAccount, 1000)
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	first.Settle(0)
	b.ReportAllocs()
	for b.Loop() {
		reservation, err := client.Reserve(b.Context(), fuzzAccount, 100)
		if err != nil {
			b.Fatal(err)
		}
		reservation.Settle(0)
	}
}

// BenchmarkExchange measures a lender's decision and the encoding and decoding
// of its messages, for one account.
func BenchmarkExchange(b *testing.B) {
	lender := fullLender(1, Switches{})
	limits := fixedLimits{limit: Limit{Rate: 1e12, Burst: 1e12}}
	b.ReportAllocs()
	var loan Grant
	for i := 0; b.Loop(); i++ {
		ask := Ask{Account: fuzzAccount, Epoch: 1, Loan: loan.Loan, Spent: loan.Lent, Need: 100}
		exchange := decodeExchange(encodeExchange(Exchange{Borrower: "entry1", Asks: []Ask{ask}}))
		now := at(time.Duration(i) * time.Millisecond)
		grants, _ := lender.Exchange(now, now.Add(SeatLeaseLength), exchange.Borrower, exchange.Asks, limits)
		answer := decodeAnswer(encodeAnswer(Answer{Held: true, Grants: grants}))
		loan = answer.Grants[0]
	}
}

// BenchmarkState reports the memory of a balance at an entry, and of a portion
// and a loan at a lender.
func BenchmarkState(b *testing.B) {
	const count = 10000
	for b.Loop() {
		balances := make([]*account, count)
		b.ReportMetric(heapOf(func() {
			for i := range balances {
				balances[i] = newAccount(BalanceConfig{Account: fuzzAccount})
			}
		})/count, "B/balance")
		lender := fullLender(1, Switches{})
		b.ReportMetric(heapOf(func() {
			for i := range count {
				ask := Ask{Account: names.ClientAccount(fmt.Sprint(i)), Need: 50}
				lender.Exchange(at(0), forever, "entry", []Ask{ask}, portionLimit)
			}
		})/count, "B/portion")
		b.ReportMetric(heapOf(func() {
			for i := range count {
				ask := Ask{Account: "0", Need: 0}
				lender.Exchange(at(0), forever, names.Instance(fmt.Sprint(i)), []Ask{ask}, portionLimit)
			}
		})/count, "B/loan")
		runtime.KeepAlive(balances)
		runtime.KeepAlive(lender)
	}
}

// heapOf returns by how many bytes run makes the heap grow.
func heapOf(run func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	run()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
