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
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/trunk"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

// plainCodec is a codec with short names.
type plainCodec struct{}

// ReadCall implements [relay.Codec].
func (plainCodec) ReadCall(request *http.Request) relay.Call {
	call := relay.Call{ID: request.Header.Get("Id"), Key: request.Header.Get("Key"), PromptTokens: -1, OutputTokens: -1}
	call.Model = names.Model(request.Header.Get("Model"))
	call.Adapter = names.Adapter(request.Header.Get("Adapter"))
	if wait, err := time.ParseDuration(request.Header.Get("Wait")); err == nil {
		call.Deadline = wait
	}
	if tokens, err := strconv.ParseInt(request.Header.Get("Tokens"), 10, 64); err == nil {
		call.PromptTokens, call.OutputTokens = tokens, 0
	}
	return call
}

// ServerHeader implements [relay.Codec].
func (plainCodec) ServerHeader(request *http.Request, attempt relay.Attempt) http.Header {
	header := http.Header{}
	header.Set("Id", request.Header.Get("Id"))
	header.Set("Server", string(attempt.Server))
	header.Set("Account", string(attempt.Account))
	header.Set("Resume", attempt.Resume)
	return header
}

// ReadAnswer implements [relay.Codec].
func (plainCodec) ReadAnswer(header http.Header) relay.Answer {
	answer := relay.Answer{Call: header.Get("Id"), NotRun: header.Get("Not-Run") != "", Leaving: header.Get("Leaving") != ""}
	if rest, err := time.ParseDuration(header.Get("Rest")); err == nil {
		answer.Rest = rest
	}
	return answer
}

// CallerHeader implements [relay.Codec].
func (plainCodec) CallerHeader(header http.Header) http.Header {
	result := header.Clone()
	result.Del("Content-Length")
	result.Del("Connection")
	return result
}

// RefusalHeader implements [relay.Codec].
func (plainCodec) RefusalHeader(relay.Call) http.Header { return http.Header{} }

// coordinator loads models and adapters at once.
type coordinator struct {
	// mutex guards all below.
	mutex    sync.Mutex
	pool     *pool.Pool
	needed   []names.Model
	adapters []pool.Adapter
	refuse   bool
	away     bool
	needs    func(model names.Model)
}

// Need implements [relay.Coordinator].
func (coordinator *coordinator) Need(_ names.Service, model names.Model, delta int) {
	coordinator.mutex.Lock()
	if delta > 0 {
		coordinator.needed = append(coordinator.needed, model)
	}
	needs := coordinator.needs
	coordinator.mutex.Unlock()
	if delta > 0 && needs != nil {
		needs(model)
	}
}

// Adapter implements [relay.Coordinator].
func (coordinator *coordinator) Adapter(_ context.Context, _ *pool.Server, adapter pool.Adapter) error {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.adapters = append(coordinator.adapters, adapter)
	return nil
}

// Borrow implements [relay.Coordinator].
func (coordinator *coordinator) Borrow(context.Context, names.ClientAccount, float64) (time.Duration, bool, error) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return time.Second, !coordinator.refuse, nil
}

// Demand implements [relay.Coordinator].
func (*coordinator) Demand(names.Service, names.Model, float64) {}

// Entries implements [relay.Coordinator].
func (*coordinator) Entries() int { return 0 }

// Reachable implements [relay.Coordinator].
func (coordinator *coordinator) Reachable() bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return !coordinator.away
}

// world is a relay between callers and backend servers.
type world struct {
	t           *testing.T
	relay       *relay.Relay
	pool        *pool.Pool
	coordinator *coordinator
	front       *httptest.Server
	logs        *test.Hook
	crashes     *crash.Book
}

func newWorld(t *testing.T, routes ...*policy.Route) *world {
	t.Helper()
	logger, hook := test.NewNullLogger()
	logger.SetLevel(logrus.DebugLevel)
	times := clock.NewService(clock.ServiceConfig{})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Draw: func() float64 { return 0 }})
	asked := &coordinator{pool: servers}
	crashes := crash.NewBook()
	carrier := relay.New(relay.Config{
		Codec: plainCodec{}, Pool: servers, Trunk: trunk.New(trunk.Config{Clock: times}), Shares: share.NewLimiter(), Coordinator: asked, Crashes: crashes,
		Clock: times, Log: logger, Metrics: metrics.NewRegistry(), Domain: "a", RetryRatio: 0.2, RetrySlack: 240, RetryWindow: 10 * time.Second,
		CrashSilence: 1500 * time.Millisecond,
	})
	engine := &policy.Engine{Slots: 4, Models: map[names.Model]policy.Model{"notes": {Name: "notes"}}}
	carrier.Adopt(policy.NewSnapshot(policy.SnapshotConfig{
		Version: 3, Routes: routes, Limits: policy.Limits{BodyBytes: 1000},
		Services: []*policy.Service{{Name: "desk"}, {Name: "notes", Engine: engine}},
		Accounts: []*policy.Account{{Name: "crew", Keys: []string{"secret"}}},
	}))
	front := httptest.NewServer(carrier)
	t.Cleanup(front.Close)
	return &world{t: t, relay: carrier, pool: servers, coordinator: asked, front: front, logs: hook, crashes: crashes}
}

func route(name string, kind policy.Kind, service names.Service) *policy.Route {
	return &policy.Route{
		Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
		Targets: []policy.Target{{Service: service, Weight: 1}}, MaxAttempts: 2,
	}
}

// server adds a backend server that handles requests with handle and counts them.
func (world *world) server(id names.BackendServer, service names.Service, handle http.HandlerFunc) *visits {
	seen := &visits{}
	backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		seen.add(request.Header.Clone(), string(body), request.RequestURI)
		writer.Header().Set("Id", request.Header.Get("Id"))
		handle(writer, request)
	}))
	world.t.Cleanup(backend.Close)
	world.pool.Put(&pool.Server{
		ID: id, Service: service, Address: backend.Listener.Addr().String(), Domain: "a", Slots: 4, Models: []names.Model{"notes"},
	})
	return seen
}

// visits are the requests that a server saw.
type visits struct {
	// mutex guards all below.
	mutex   sync.Mutex
	headers []http.Header
	bodies  []string
	targets []string
}

func (visits *visits) add(header http.Header, body, target string) {
	visits.mutex.Lock()
	defer visits.mutex.Unlock()
	visits.headers = append(visits.headers, header)
	visits.bodies = append(visits.bodies, body)
	visits.targets = append(visits.targets, target)
}

func (visits *visits) count() int {
	visits.mutex.Lock()
	defer visits.mutex.Unlock()
	return len(visits.headers)
}

// result is what a caller saw.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (world *world) call(method, path, body string, header map[string]string) result {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, world.front.URL+path, nil)
	if err != nil {
		return result{err: err}
	}
	if body != "" {
		request, err = http.NewRequestWithContext(ctx, method, world.front.URL+path, stringBody(body))
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

func events(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	return text
}
