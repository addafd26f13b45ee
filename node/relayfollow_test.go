package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/setup"
)

// storedItem is one change in a fakeStore, as JSON.
type storedItem struct {
	key      string
	revision int64
	encoded  string
	deleted  bool
}

// fakeStore serves lists and watches of the platform's key-value service.
type fakeStore struct {
	// mutex guards all below.
	mutex    sync.Mutex
	revision int64
	latest   map[string]storedItem
	history  []storedItem
	changed  chan struct{}
	lists    int
}

func newFakeStore() *fakeStore {
	return &fakeStore{latest: map[string]storedItem{}, changed: make(chan struct{}), revision: 1}
}

// put writes a value under a key.
func (fakeStore *fakeStore) put(key, value string) {
	encoded, _ := json.Marshal([]byte(value))
	fakeStore.write(key, `"value":`+string(encoded), false)
}

func (fakeStore *fakeStore) remove(key string) { fakeStore.write(key, `"tombstone":true`, true) }

// write stores an item with further fields as JSON.
func (fakeStore *fakeStore) write(key, fields string, deleted bool) {
	encodedKey, _ := json.Marshal(key)
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.revision++
	item := storedItem{
		key: key, revision: fakeStore.revision, deleted: deleted,
		encoded: fmt.Sprintf(`{"key":%s,"revision":%d,%s}`, encodedKey, fakeStore.revision, fields),
	}
	fakeStore.add(item)
}

// writeRaw adds an item that is passed on as it is.
func (fakeStore *fakeStore) writeRaw(encoded string) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.revision++
	fakeStore.add(storedItem{key: encoded, revision: fakeStore.revision, encoded: encoded})
}

// add stores an item. It is called with the mutex held.
func (fakeStore *fakeStore) add(item storedItem) {
	fakeStore.history = append(fakeStore.history, item)
	delete(fakeStore.latest, item.key)
	if !item.deleted {
		fakeStore.latest[item.key] = item
	}
	close(fakeStore.changed)
	fakeStore.changed = make(chan struct{})
}

// ServeHTTP implements [http.Handler].
func (fakeStore *fakeStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/kv-range" {
		fakeStore.mutex.Lock()
		defer fakeStore.mutex.Unlock()
		fakeStore.lists++
		var items []string
		for _, item := range fakeStore.latest {
			items = append(items, item.encoded)
		}
		fmt.Fprintf(writer, `{"items":[%s],"truncated":false,"currentRev":%d}`, strings.Join(items, ","), fakeStore.revision)
		return
	}
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	for {
		fakeStore.mutex.Lock()
		changed, revision := fakeStore.changed, fakeStore.revision
		var events []string
		for _, item := range fakeStore.history {
			if item.revision > after {
				events = append(events, item.encoded)
			}
		}
		fakeStore.mutex.Unlock()
		if len(events) > 0 {
			fmt.Fprintf(writer, `{"events":[%s],"currentRev":%d}`, strings.Join(events, ","), revision)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		}
	}
}

// countEvents returns how many lines of an event were logged.
func countEvents(logged *test.Hook, message string) int {
	count := 0
	for _, entry := range logged.AllEntries() {
		if entry.Message == message {
			count++
		}
	}
	return count
}

// followRegistry follows the registry in a fakeStore until the test ends.
func followRegistry(t *testing.T, fakeStore *fakeStore) (*pool.Pool, *test.Hook) {
	t.Helper()
	server := httptest.NewServer(fakeStore)
	log, logged := test.NewNullLogger()
	dialer := &net.Dialer{}
	transport := platform.NewTransport(dialer.DialContext)
	clock := clock.NewService(clock.ServiceConfig{})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0.5 }})
	follower := mirror.New(mirror.Config{
		Source: platform.NewStore(platform.StoreConfig{Address: strings.TrimPrefix(server.URL, "http://"), Transport: transport, Metrics: metrics.NewRegistry(), Log: log}),
		Handler: evacuationPrefixes(
			newEvacuationHandler(evacuationParts{Host: &setup.Host{}, Pool: servers, Clock: clock, Log: log, Metrics: metrics.NewRegistry()}), newRegistryHandler(servers, clock, log),
		),
		Clock: clock, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		transport.CloseIdleConnections()
		server.Close()
	})
	return servers, logged
}

func serverEntry(address string) string {
	return fmt.Sprintf(`{"service":"notes","address":%q,"zone":"a","slots":8,"state":"ready","born":1700000000000,"seq":1}`, address)
}

// listedServers returns the identifiers of the servers that are in use.
func listedServers(servers *pool.Pool) func() []string {
	return func() []string {
		var ids []string
		for _, server := range servers.Servers(time.Now()) {
			ids = append(ids, string(server.ID))
		}
		return ids
	}
}

var oddEntries = []string{
	"", "\xff\xfe", "null", "[]", "7", strings.Repeat("[", 200000), strings.Repeat(`{"service":`, 20000),
	`{"service":"notes","address":"10.9.9.9:80","state":"ready","slots":1e400}`,
	`{"service":"notes","address":"10.9.9.9:99999","state":"ready","slots":8}`,
	`{"service":"notes","address":"10.9.9.9:0","state":"ready","slots":8}`,
	`{"service":"notes","address":"0.0.0.0:80","state":"ready","slots":8}`,
	`{"service":"notes","address":"10.9.9.9:80","state":"ready","slots":-5}`,
	`{"service":"notes","address":"10.9.9.9:80","state":"ready","slots":9223372036854775807}`,
	`{"service":"notes","address":"10.9.9.9:80","state":"ready"}`,
	`{"service":"notes","address":"10.9.9.9:80","state":"ready","slots":8,"born":9223372036854775807}`,
	`{"service":"notes","address":"10.9.9.9:80","state":"ready","slots":8,"remainingMs":"soon"}`,
}

// TestOddEntriesLeaveTheOthersInUse writes odd entries beside and over those of servers,
// each of which comes, changes and goes.
func TestOddEntriesLeaveTheOthersInUse(t *testing.T) {
	g := NewWithT(t)
	fakeStore := newFakeStore()
	for index, odd := range oddEntries {
		fakeStore.put(fmt.Sprintf("servers/listed-odd-%d", index), odd)
	}
	fakeStore.put("servers/i-1", serverEntry("10.0.0.1:80"))
	fakeStore.put("servers/i-2", serverEntry("10.0.0.2:80"))
	servers, logged := followRegistry(t, fakeStore)
	g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1", "i-2"}))
	for index, odd := range oddEntries {
		fakeStore.put("servers/odd", odd)
		fakeStore.put("servers/i-2", odd)
		fakeStore.put("servers/i-3", serverEntry("10.0.0.3:80"))
		g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1", "i-3"}), "entry %d", index)
		fakeStore.remove("servers/odd")
		fakeStore.put("servers/i-2", serverEntry("10.0.0.2:80"))
		fakeStore.remove("servers/i-3")
		g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1", "i-2"}), "entry %d", index)
	}
	g.Expect(countEvents(logged, "storeLost")).To(BeZero())
	g.Expect(countEvents(logged, "serverEntryUnread")).To(BeNumerically(">=", 2*len(oddEntries)))
}

// TestOddKeysNameNoServer guards against identifiers that cannot be sent in a header.
func TestOddKeysNameNoServer(t *testing.T) {
	g := NewWithT(t)
	fakeStore := newFakeStore()
	for _, key := range []string{"", "a/b", "a\r\nX-Tenant: b", "a\x00", "a b", "ä", "a\xff", strings.Repeat("a", 100000)} {
		fakeStore.put("servers/"+key, serverEntry("10.9.9.9:80"))
	}
	fakeStore.put("servers/i-1", serverEntry("10.0.0.1:80"))
	servers, logged := followRegistry(t, fakeStore)
	// The entries are processed one by one, so that i-1 may be in use before the others
	// have been read.
	unread := func() int { return countEvents(logged, "serverEntryUnread") }
	g.Eventually(unread, 5*time.Second).Should(Equal(8))
	g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1"}))
	g.Consistently(unread, 200*time.Millisecond).Should(Equal(8))
}

// TestHeartbeatsAreNotLogged guards against a log that consists of the entries that servers
// write every 1.2 s, and against one that lacks their changes.
func TestHeartbeatsAreNotLogged(t *testing.T) {
	g := NewWithT(t)
	fakeStore := newFakeStore()
	servers, logged := followRegistry(t, fakeStore)
	write := func(seq int, address string) {
		fakeStore.put("servers/i-1", fmt.Sprintf(`{"service":"notes","address":%q,"zone":"a","slots":8,"state":"ready","born":1700000000000,"seq":%d}`, address, seq))
	}
	// follow waits until all entries so far have been processed, by another server's entry.
	others := 0
	follow := func() {
		others++
		id := fmt.Sprintf("j-%d", others)
		fakeStore.put("servers/"+id, serverEntry("10.0.0.2:80"))
		g.Eventually(listedServers(servers), 5*time.Second).Should(ContainElement(id))
	}
	listed := func() int { return countEvents(logged, "serverListed") - others }
	for seq := range 5 {
		write(seq, "10.0.0.1:80")
		follow()
	}
	g.Eventually(listed).Should(Equal(1))
	write(5, "10.0.0.3:80")
	follow()
	g.Eventually(listed).Should(Equal(2))
	fakeStore.remove("servers/i-1")
	follow()
	write(6, "10.0.0.3:80")
	follow()
	g.Eventually(listed).Should(Equal(3))
}

// TestUnreadableItemsLeaveTheOthersInUse adds items that cannot be decoded to the list
// and the watch.
func TestUnreadableItemsLeaveTheOthersInUse(t *testing.T) {
	raw := []string{
		`{"key":"servers/i-2","revision":4,"value":"%%%"}`, `{"key":"servers/x","revision":5,"value":7}`,
		`7`, `null`, `{"key":7,"revision":6}`, `{"key":"servers/x","revision":"7"}`, `{"revision":8}`, `{"key":"servers/x","revision":1e400}`,
	}
	g := NewWithT(t)
	fakeStore := newFakeStore()
	fakeStore.put("servers/i-1", serverEntry("10.0.0.1:80"))
	fakeStore.writeRaw(raw[1])
	servers, logged := followRegistry(t, fakeStore)
	g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1"}))
	for index, each := range raw {
		fakeStore.writeRaw(each)
		id := fmt.Sprintf("j-%d", index)
		fakeStore.put("servers/"+id, serverEntry("10.0.0.3:80"))
		g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1", id}), each)
		fakeStore.remove("servers/" + id)
		g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1"}), each)
	}
	g.Expect(countEvents(logged, "storeLost")).To(BeZero())
	g.Expect(countEvents(logged, "storeItemUnread")).To(BeNumerically(">=", 6))
}

// TestEntryThatChangesOftenDoesNotStopTheWatch writes more changes of a large entry at
// once than an answer can hold.
func TestEntryThatChangesOftenDoesNotStopTheWatch(t *testing.T) {
	g := NewWithT(t)
	fakeStore := newFakeStore()
	fakeStore.put("servers/i-1", serverEntry("10.0.0.1:80"))
	servers, logged := followRegistry(t, fakeStore)
	g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1"}))
	value := strings.Repeat("x", 1<<20)
	for range 12 {
		fakeStore.put("servers/odd", value)
	}
	fakeStore.put("servers/i-2", serverEntry("10.0.0.2:80"))
	g.Eventually(listedServers(servers), 10*time.Second).Should(Equal([]string{"i-1", "i-2"}))
	g.Expect(countEvents(logged, "storeLost")).To(BeZero())
}

// TestValueOfNoProcessDoesNotPreventElections checks which values of the coordinator's key
// an entry replaces.
func TestValueOfNoProcessDoesNotPreventElections(t *testing.T) {
	g := NewWithT(t)
	self := coord.Identity{Instance: "edge-1", Address: "10.1.0.1:7600", Process: "p-2"}
	relaySelf := &relaySelf{identity: self, value: self.Encode()}
	for _, value := range []string{"", "\xff", "{", "7", "{}", "null"} {
		g.Expect(relaySelf.isPredecessor(value)).To(BeTrue(), "%q", value)
	}
	for _, other := range []coord.Identity{self, {Instance: "edge-2", Address: "10.1.0.2:7600", Process: "p-1"}} {
		g.Expect(relaySelf.isPredecessor(other.Encode())).To(BeFalse(), "%+v", other)
	}
	g.Expect(relaySelf.isPredecessor(coord.Identity{Instance: "edge-1", Address: "10.1.0.1:7600", Process: "p-1"}.Encode())).To(BeTrue())
}
