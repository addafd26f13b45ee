package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/reply"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/trunk"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

// plainCodec is a codec with short header names.
type plainCodec struct{}

// ReadRequest implements [relay.Codec].
func (plainCodec) ReadRequest(request *http.Request) relay.RequestInfo {
	requestInfo := relay.RequestInfo{ID: request.Header.Get("Id"), Key: request.Header.Get("Key"), PromptTokens: -1, OutputTokens: -1}
	requestInfo.Model = names.Model(request.Header.Get("Model"))
	requestInfo.Adapter = names.Adapter(request.Header.Get("Adapter"))
	if wait, err := time.ParseDuration(request.Header.Get("Wait")); err == nil {
		requestInfo.Timeout = wait
	}
	if tokens, err := strconv.ParseInt(request.Header.Get("Tokens"), 10, 64); err == nil {
		requestInfo.PromptTokens, requestInfo.OutputTokens = tokens, 0
	}
	if tokens, err := strconv.ParseInt(request.Header.Get("Output"), 10, 64); err == nil {
		requestInfo.PromptTokens, requestInfo.OutputTokens = 0, tokens
	}
	parts := strings.Split(request.Header.Get("Parts"), ",")
	requestInfo.SharedParts = parts[:len(parts)-1]
	return requestInfo
}

// ServerHeader implements [relay.Codec].
func (plainCodec) ServerHeader(request *http.Request, attempt relay.Attempt) http.Header {
	header := http.Header{}
	header.Set("Id", request.Header.Get("Id"))
	header.Set("Server", string(attempt.Server))
	header.Set("Account", string(attempt.Account))
	header.Set("Resume", attempt.ResumeAfter)
	header.Set("Parts", request.Header.Get("Parts"))
	header.Set("Output", request.Header.Get("Output"))
	return header
}

// ReadResponse implements [relay.Codec].
func (plainCodec) ReadResponse(header http.Header) relay.ResponseInfo {
	responseInfo := relay.ResponseInfo{Stamped: header.Get("Stamp") != "", Encoding: header.Get("Content-Encoding"), NotRun: header.Get("Not-Run") != "", Leaving: header.Get("Leaving") != ""}
	if ids := header.Values("Id"); len(ids) == 1 {
		responseInfo.RequestID = ids[0]
	}
	if rest, err := time.ParseDuration(header.Get("Rest")); err == nil {
		responseInfo.Backoff = rest
	}
	if waiting, err := strconv.Atoi(header.Get("Load")); err == nil {
		responseInfo.Load = &pool.InstanceLoad{Waiting: waiting, Pace: 1}
	}
	responseInfo.LoadUnread = header.Get("Load") == "odd"
	responseInfo.Rate = permit.Unlimited{}
	if perSecond, err := strconv.ParseFloat(header.Get("Rate"), 64); err == nil {
		responseInfo.Rate = permit.Limited{PerSecond: perSecond}
	}
	return responseInfo
}

// CallerHeader implements [relay.Codec].
func (plainCodec) CallerHeader(header http.Header) http.Header {
	result := header.Clone()
	result.Del("Content-Length")
	result.Del("Connection")
	return result
}

// RefusalHeader implements [relay.Codec].
func (plainCodec) RefusalHeader(relay.RequestInfo) http.Header { return http.Header{} }

// fakeCoordinator records what it is asked for and loads adapters at once. It calls onWait
// for each request that waits for a model, onAdapter for each adapter, and onPermit for
// each permit, whose error it returns.
type fakeCoordinator struct {
	// mutex guards the fields below.
	mutex       sync.Mutex
	pool        *pool.Pool
	waitedFor   []names.Model
	adapters    []pool.Adapter
	grantProbes bool
	denyLoans   bool
	unreachable bool
	onWait      func(model names.Model)
	onAdapter   func(server *pool.Server)
	onPermit    func(ctx context.Context) error
}

// Place implements [relay.Coordinator].
func (*fakeCoordinator) Place(context.Context, names.Service, sched.Request) (sched.Decision, error) {
	return sched.Unscheduled{}, nil
}

// Explain implements [relay.Coordinator].
func (*fakeCoordinator) Explain(context.Context, names.Service, sched.Request) (sched.Explanation, error) {
	return sched.Explanation{Decision: sched.Unscheduled{}}, nil
}

// AddWaiting implements [relay.Coordinator].
func (fakeCoordinator *fakeCoordinator) AddWaiting(_ names.Service, model names.Model, delta int) {
	fakeCoordinator.mutex.Lock()
	if delta > 0 {
		fakeCoordinator.waitedFor = append(fakeCoordinator.waitedFor, model)
	}
	onWait := fakeCoordinator.onWait
	fakeCoordinator.mutex.Unlock()
	if delta > 0 && onWait != nil {
		onWait(model)
	}
}

// LoadAdapter implements [relay.Coordinator].
func (fakeCoordinator *fakeCoordinator) LoadAdapter(_ context.Context, server *pool.Server, adapter pool.Adapter) error {
	fakeCoordinator.mutex.Lock()
	defer fakeCoordinator.mutex.Unlock()
	fakeCoordinator.adapters = append(fakeCoordinator.adapters, adapter)
	if fakeCoordinator.onAdapter != nil {
		fakeCoordinator.onAdapter(server)
	}
	return nil
}

// Borrow implements [relay.Coordinator].
func (fakeCoordinator *fakeCoordinator) Borrow(context.Context, names.ClientAccount, float64) (time.Duration, bool, error) {
	fakeCoordinator.mutex.Lock()
	defer fakeCoordinator.mutex.Unlock()
	return time.Second, !fakeCoordinator.denyLoans, nil
}

// Permit implements [relay.Coordinator].
func (fakeCoordinator *fakeCoordinator) Permit(ctx context.Context, _ permit.Application) (time.Duration, bool, error) {
	fakeCoordinator.mutex.Lock()
	onPermit := fakeCoordinator.onPermit
	fakeCoordinator.mutex.Unlock()
	if onPermit != nil {
		if err := onPermit(ctx); err != nil {
			return 0, false, err
		}
	}
	fakeCoordinator.mutex.Lock()
	defer fakeCoordinator.mutex.Unlock()
	return time.Second, !fakeCoordinator.denyLoans, nil
}

// Probe implements [relay.Coordinator].
func (fakeCoordinator *fakeCoordinator) Probe(context.Context, []crash.Fingerprint) (bool, error) {
	return fakeCoordinator.grantProbes, nil
}

// AddDemand implements [relay.Coordinator].
func (*fakeCoordinator) AddDemand(names.Service, names.Model, float64) {}

// EntryCount implements [relay.Coordinator].
func (*fakeCoordinator) EntryCount() int { return 0 }

// Reachable implements [relay.Coordinator].
func (fakeCoordinator *fakeCoordinator) Reachable() bool {
	fakeCoordinator.mutex.Lock()
	defer fakeCoordinator.mutex.Unlock()
	return !fakeCoordinator.unreachable
}

// fixture is a relay between callers and backend servers.
type fixture struct {
	t           *testing.T
	relay       *relay.Relay
	pool        *pool.Pool
	trunk       *trunk.Trunk
	coordinator *fakeCoordinator
	front       *httptest.Server
	logs        *test.Hook
	crashes     *crash.Tracker
}

func newFixture(t *testing.T, routes ...*policy.Route) *fixture {
	t.Helper()
	return newCodecFixture(t, plainCodec{}, routes...)
}

// newCodecFixture returns a fixture whose relay uses codec.
func newCodecFixture(t *testing.T, codec relay.Codec, routes ...*policy.Route) *fixture {
	t.Helper()
	return newConfiguredFixture(t, codec, func(*relay.Config) {}, routes...)
}

// newConfiguredFixture returns a fixture whose relay uses codec and a configuration that
// configure has edited.
func newConfiguredFixture(t *testing.T, codec relay.Codec, configure func(*relay.Config), routes ...*policy.Route) *fixture {
	t.Helper()
	logger, hook := test.NewNullLogger()
	logger.SetLevel(logrus.DebugLevel)
	clockService := clock.NewService(clock.ServiceConfig{})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
	coordinator := &fakeCoordinator{pool: servers}
	crashes := crash.NewTracker()
	connections := trunk.New(trunk.Config{Clock: clockService})
	config := relay.Config{
		Codec: codec, Pool: servers, Trunk: connections, Limiter: share.NewLimiter(), Coordinator: coordinator, Crashes: crashes,
		Clock: clockService, Log: logger, Metrics: metrics.NewRegistry(), Domain: "a", RetryRatio: 0.2, RetrySlack: 240, RetryWindow: 10 * time.Second,
		CrashConfirmDelay: 1500 * time.Millisecond,
	}
	configure(&config)
	handler := relay.New(config)
	handler.SetPolicy(newSnapshot(&policy.Account{Name: "crew", Keys: []string{"secret"}}, routes...))
	front := httptest.NewUnstartedServer(handler)
	front.Listener = boundedListener{Listener: front.Listener}
	front.Config.ConnContext = reply.ConnContext
	front.Start()
	t.Cleanup(front.Close)
	return &fixture{t: t, relay: handler, pool: servers, trunk: connections, coordinator: coordinator, front: front, logs: hook, crashes: crashes}
}

// boundedListener bounds what the kernel holds for a caller that does not read, as package accept
// does, on all kernels.
type boundedListener struct{ net.Listener }

// Accept implements [net.Listener].
func (boundedListener boundedListener) Accept() (net.Conn, error) {
	conn, err := boundedListener.Listener.Accept()
	if buffered, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok && err == nil {
		err = buffered.SetWriteBuffer(128 << 10)
	}
	return conn, err
}

// newSnapshot returns the policy of a fixture with one account.
func newSnapshot(account *policy.Account, routes ...*policy.Route) *policy.Snapshot {
	return newLimitedSnapshot(1000, account, routes...)
}

// newLimitedSnapshot returns a policy that bounds the bodies of requests.
func newLimitedSnapshot(bodyBytes int64, account *policy.Account, routes ...*policy.Route) *policy.Snapshot {
	engine := &policy.Engine{Slots: 4, Models: map[names.Model]policy.Model{"notes": {Name: "notes"}}}
	return policy.NewSnapshot(policy.SnapshotConfig{
		Version: 3, Routes: routes, Limits: policy.Limits{BodyBytes: bodyBytes},
		Services: []*policy.Service{{Name: "desk"}, {Name: "notes", Engine: engine}},
		Accounts: []*policy.Account{account},
	})
}

func route(name string, kind policy.Kind, service names.Service) *policy.Route {
	return &policy.Route{
		Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
		Targets: []policy.Target{{Service: service, Weight: 1}}, MaxAttempts: 2,
	}
}

// server adds a backend server that handles requests with handle and returns the log of
// its requests.
func (fixture *fixture) server(id names.BackendServer, service names.Service, handle http.HandlerFunc) *requestLog {
	seen := &requestLog{}
	backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		seen.add(request.Header.Clone(), string(body), request.RequestURI)
		writer.Header().Set("Id", request.Header.Get("Id"))
		writer.Header().Set("Stamp", string(id))
		handle(writer, request)
	}))
	fixture.t.Cleanup(backend.Close)
	fixture.pool.Put(&pool.Server{
		ID: id, Service: service, Address: backend.Listener.Addr().String(), Domain: "a", Slots: 4, Models: []names.Model{"notes"},
	})
	return seen
}

// requestLog holds the requests that a server received.
type requestLog struct {
	// mutex guards the fields below.
	mutex   sync.Mutex
	headers []http.Header
	bodies  []string
	targets []string
}

func (requestLog *requestLog) add(header http.Header, body, target string) {
	requestLog.mutex.Lock()
	defer requestLog.mutex.Unlock()
	requestLog.headers = append(requestLog.headers, header)
	requestLog.bodies = append(requestLog.bodies, body)
	requestLog.targets = append(requestLog.targets, target)
}

func (requestLog *requestLog) count() int {
	requestLog.mutex.Lock()
	defer requestLog.mutex.Unlock()
	return len(requestLog.headers)
}

// result is what a caller received.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to the relay.
func (fixture *fixture) call(method, path, body string, header map[string]string) result {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fixture.front.URL+path, nil)
	if err != nil {
		return result{err: err}
	}
	if body != "" {
		request, err = http.NewRequestWithContext(ctx, method, fixture.front.URL+path, stringBody(body))
		if err != nil {
			return result{err: err}
		}
	}
	request.Host = "desk.example"
	request.Header.Set("Id", "call-1")
	request.Header.Set("Key", "secret")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// hijack takes over the connection of a response.
func hijack(writer http.ResponseWriter) net.Conn {
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		panic("no hijacker")
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}

// events returns the text of stream events with the given range of IDs.
func events(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	return text
}
