package spread_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/spread"
	"github.com/basilkeel/basilkeel/store"
)

// eventuallyTimeout limits how long a spec waits for a condition.
const eventuallyTimeout = time.Minute

// cluster runs services on the loopback interface with one store.
type cluster struct {
	store *proof.Store
	peers spread.StaticPeers
	// services holds the running services by position in peers.
	services []*spread.Service
	stops    []func()
	// stores and dialers hold one for each instance, which can be disconnected.
	stores  []*faultyStore
	dialers []*dialer
	servers []*grpc.Server
}

// faultyStore forwards calls to a store, or fails them while cut is set.
type faultyStore struct {
	store.Store
	cut atomic.Bool
}

func (faultyStore *faultyStore) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	if faultyStore.cut.Load() {
		return store.Entry{}, false, &store.UnavailableError{Operation: "get"}
	}
	return faultyStore.Store.Get(ctx, key)
}

func (faultyStore *faultyStore) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Entry, store.Revision, error) {
	if faultyStore.cut.Load() {
		return nil, 0, &store.UnavailableError{Operation: "watch"}
	}
	entries, revision, err := faultyStore.Store.Watch(ctx, prefix, after)
	if faultyStore.cut.Load() {
		return nil, 0, &store.UnavailableError{Operation: "watch"}
	}
	return entries, revision, err
}

func newCluster(size int) *cluster {
	cluster := &cluster{store: proof.NewStore(), services: make([]*spread.Service, size), stops: make([]func(), size)}
	cluster.stores, cluster.dialers = make([]*faultyStore, size), make([]*dialer, size)
	cluster.servers = make([]*grpc.Server, size)
	listeners := make([]net.Listener, size)
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners[i] = listener
		cluster.peers = append(cluster.peers, spread.Peer{
			Instance: names.Instance(fmt.Sprint("instance-", i)),
			Address:  listener.Addr().String(),
			Domain:   names.FailureDomain(fmt.Sprint("domain-", i%2)),
		})
	}
	for i, listener := range listeners {
		cluster.start(i, listener)
	}
	return cluster
}

func (cluster *cluster) start(index int, listener net.Listener) {
	timers := clock.NewService(clock.ServiceConfig{})
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	dialer := &dialer{connections: map[string]*grpc.ClientConn{}}
	faultyStore := &faultyStore{Store: cluster.store}
	cluster.stores[index], cluster.dialers[index] = faultyStore, dialer
	service := spread.NewService(spread.ServiceConfig{
		Self: cluster.peers[index], Peers: cluster.peers, Clock: timers, Logger: logger, Dial: dialer.dial,
		Repository: config.NewRepository(config.RepositoryConfig{Store: faultyStore, Clock: timers}),
	})
	server := grpc.NewServer()
	service.Register(server)
	cluster.servers[index] = server
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	ctx, cancel := context.WithCancel(context.Background())
	running.Go(func() { service.Run(ctx) })
	cluster.services[index] = service
	cluster.stops[index] = func() {
		cancel()
		server.GracefulStop()
		running.Wait()
		timers.Wait()
		dialer.close()
	}
}

func (cluster *cluster) stop() {
	for _, stop := range cluster.stops {
		stop()
	}
}

// commit makes a change and publishes it as the admin API does.
func (cluster *cluster) commit(ctx context.Context, writer *spread.Service, change config.Change) {
	timers := clock.NewService(clock.ServiceConfig{})
	repository := config.NewRepository(config.RepositoryConfig{Store: cluster.store, Clock: timers})
	_, err := repository.Commit(ctx, change)
	Expect(err).NotTo(HaveOccurred())
	bundle, err := repository.Load(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(writer.Adopt(bundle)).To(Succeed())
	// Relays that are still starting refuse the announcement. Repeat it, as an
	// operator would repeat the change.
	Eventually(func() bool { return writer.Publish(ctx, bundle.Version()) }, eventuallyTimeout).Should(BeTrue())
}

func (cluster *cluster) versions() []config.Version {
	versions := make([]config.Version, len(cluster.services))
	for i, service := range cluster.services {
		if snapshot := service.Current(); snapshot != nil {
			versions[i] = snapshot.Version()
		}
	}
	return versions
}

// dialer keeps one connection per address.
type dialer struct {
	// mutex guards connections.
	mutex        sync.Mutex
	connections  map[string]*grpc.ClientConn
	disconnected bool
}

// disconnect closes all connections and refuses new ones.
func (dialer *dialer) disconnect() {
	dialer.mutex.Lock()
	dialer.disconnected = true
	dialer.mutex.Unlock()
	dialer.close()
}

func (dialer *dialer) dial(peer spread.Peer) (grpc.ClientConnInterface, error) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	if dialer.disconnected {
		return nil, &spread.PeerError{Instance: peer.Instance}
	}
	if connection := dialer.connections[peer.Address]; connection != nil {
		return connection, nil
	}
	connection, err := grpc.NewClient(peer.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		dialer.connections[peer.Address] = connection
	}
	return connection, err
}

func (dialer *dialer) close() {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	for _, connection := range dialer.connections {
		connection.Close()
	}
}

func putAccount(expected config.Version) config.Change {
	account := config.NewClientAccount(config.ClientAccountConfig{
		Name: names.ClientAccount(fmt.Sprint("account-", expected)), Rate: call.TokenRate(1), Weight: 1,
	})
	return config.Change{ID: config.ChangeID(fmt.Sprint("c", expected)), Expected: expected, Edits: []config.Edit{config.PutAccount{Account: account}}}
}

var _ = Describe("services", func() {
	It("have a change in force everywhere, count it, and start while the store is down", func() {
		defer goleak.VerifyNone(GinkgoT(), goleak.IgnoreCurrent())
		ctx := context.Background()
		cluster := newCluster(8)
		defer cluster.stop()
		cluster.commit(ctx, cluster.services[5], putAccount(0))
		cluster.commit(ctx, cluster.services[6], putAccount(1))
		Eventually(cluster.versions, eventuallyTimeout).Should(HaveEach(BeEquivalentTo(2)))
		Eventually(func() int { return cluster.services[3].Rollout(ctx, 2).Instances }, eventuallyTimeout).Should(Equal(8))
		for _, service := range cluster.services {
			Eventually(service.Fresh, eventuallyTimeout).Should(BeTrue())
		}

		cluster.store.SetDown(true)
		cluster.stops[7]()
		listener, err := net.Listen("tcp", cluster.peers[7].Address)
		Expect(err).NotTo(HaveOccurred())
		cluster.start(7, listener)
		Eventually(cluster.versions, eventuallyTimeout).Should(HaveEach(BeEquivalentTo(2)))
		Eventually(cluster.services[7].Fresh, eventuallyTimeout).Should(BeTrue())

		cluster.store.SetDown(false)
		cluster.commit(ctx, cluster.services[7], putAccount(2))
		Eventually(cluster.versions, eventuallyTimeout).Should(HaveEach(BeEquivalentTo(3)))
	})
})

var _ = Describe("a gate over services", func() {
	It("refuses a withdrawn key at instances cut off from the store, from peers, and from both", func() {
		ctx := context.Background()
		const size = 9
		cluster := newCluster(size)
		defer cluster.stop()
		hasher := ident.NewHasher([]byte("pepper"))
		issue := putAccount(0)
		issue.Edits = append(issue.Edits, config.PutKey{Key: config.NewKey(config.KeyConfig{
			Name: "key", Account: "account-0", Hash: hasher.Hash("secret"),
		})})
		cluster.commit(ctx, cluster.services[0], issue)
		admitted := func(index int) func() error {
			service := cluster.services[index]
			gate := ident.NewGate(ident.GateConfig{Source: service, Freshness: service, Hasher: hasher})
			return func() error {
				_, err := gate.Admit("secret")
				return err
			}
		}
		for i := range size {
			Eventually(admitted(i), eventuallyTimeout).Should(Succeed())
		}

		relays, leaves := cluster.roles()
		fromStore, fromPeers, fromBoth := relays[0], leaves[0], relays[1]
		cluster.stores[fromStore].cut.Store(true)
		cluster.stores[fromBoth].cut.Store(true)
		cluster.isolate(fromPeers)
		cluster.isolate(fromBoth)
		Eventually(admitted(fromBoth), eventuallyTimeout).Should(MatchError(ContainSubstring(string(call.CodeStale))))
		Eventually(admitted(fromPeers), eventuallyTimeout).Should(MatchError(ContainSubstring(string(call.CodeStale))))
		withdrawal := config.Change{ID: "w", Expected: 1, Edits: []config.Edit{config.WithdrawKey{Name: "key"}}}
		cluster.commit(ctx, cluster.services[leaves[1]], withdrawal)
		for i := range size {
			code := call.CodeUnauthorized
			if i == fromPeers || i == fromBoth {
				code = call.CodeStale
			}
			Eventually(admitted(i), eventuallyTimeout).Should(MatchError(ContainSubstring(string(code))), "instance %d", i)
		}
	})
})

// roles returns the positions of the relays and of all other instances.
func (cluster *cluster) roles() (relays, leaves []int) {
	for i, peer := range cluster.peers {
		isPeer := func(relay spread.Peer) bool { return relay.Instance == peer.Instance }
		if slices.ContainsFunc(spread.RelaysOf(cluster.peers), isPeer) {
			relays = append(relays, i)
		} else {
			leaves = append(leaves, i)
		}
	}
	return relays, leaves
}

// isolate disconnects an instance from its peers in both directions.
func (cluster *cluster) isolate(index int) {
	cluster.servers[index].Stop()
	cluster.dialers[index].disconnect()
}

// BenchmarkServices measures the processor time of services on the loopback
// interface per instance and second, without configuration changes.
func BenchmarkServices(b *testing.B) {
	for _, size := range []int{20, 40} {
		b.Run(fmt.Sprint("instances=", size), func(b *testing.B) {
			RegisterTestingT(b)
			cluster := newCluster(size)
			defer cluster.stop()
			const span = 10 * time.Second
			for b.Loop() {
				before := processorTime(b)
				time.Sleep(span)
				used := processorTime(b) - before
				b.ReportMetric(float64(used.Microseconds())/float64(size)/span.Seconds(), "cpu-us/instance/s")
			}
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
