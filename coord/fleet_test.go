package coord_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	fleetEntries = 300
	fleetServers = 3000
	fleetEngines = 700
	// fleetRound is the time in which each entry sends a report, and fleetWrites the
	// number of registry entries that are written in it: each server writes its own
	// every 1.2 s.
	fleetRound  = 250 * time.Millisecond
	fleetWrites = fleetServers * 250 / 1200
)

// blockingSource has a list of entries and no changes.
type blockingSource struct{ entries []store.Entry }

// Snapshot implements [mirror.Source].
func (source *blockingSource) Snapshot(context.Context, string) ([]store.Entry, store.Revision, error) {
	return source.entries, store.Revision(len(source.entries)), nil
}

// Changes implements [mirror.Source].
func (*blockingSource) Changes(ctx context.Context, _ string, _ store.Revision, _ time.Duration) ([]store.Entry, store.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// registryEntry returns a server's entry of the registry as of a write.
func registryEntry(index, write int, revision store.Revision) store.Entry {
	models, service := "", "plain"
	if index < fleetEngines {
		service = "notes"
		models = fmt.Sprintf(`,"models":[{"name":"model-%02d","version":1,"adapters":["style-%02d","style-%02d"]},{"name":"model-%02d","version":1,"adapters":[]}],"atHand":{"inMemory":["model-%02d"],"onDisk":["model-%02d"]}`,
			index%40, write%30, index%30, index%37, index%31, index%29)
	}
	value := fmt.Sprintf(`{"service":%q,"address":"10.%d.%d.%d:8080","zone":"zone-%d","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"born":1700000%06d,"seq":%d%s}`,
		service, index%7, index/250, index%250, index%4, index*37, write, models)
	return store.NewEntry(store.EntryConfig{Key: fmt.Sprintf("servers/server-%04d", index), Value: []byte(value), Revision: revision})
}

// fleetSnapshot returns a policy with a service whose requests are scheduled, one of plain
// servers, and accounts with limits.
func fleetSnapshot() *policy.Snapshot {
	models := map[names.Model]policy.Model{}
	for index := range 40 {
		name := names.Model(fmt.Sprintf("model-%02d", index))
		models[name] = policy.Model{Name: name, WeightsMB: 20, LoadTime: time.Second, Adapters: 30}
	}
	var routes []*policy.Route
	for _, objective := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
		routes = append(routes, &policy.Route{
			Name: objective.String(), Kind: policy.KindStream, Objective: objective, GapObjective: 250 * time.Millisecond,
			Targets: []policy.Target{{Service: "notes", Weight: 1}},
		})
	}
	var accounts []*policy.Account
	for index := range 60 {
		accounts = append(accounts, &policy.Account{Name: names.ClientAccount(fmt.Sprintf("account-%02d", index)), Rate: 10_000, Burst: 20_000})
	}
	return policy.NewSnapshot(policy.SnapshotConfig{Version: 1, Routes: routes, Accounts: accounts, Services: []*policy.Service{
		{Name: "notes", Engine: &policy.Engine{Slots: 16, WeightsMB: 100, AdapterSlots: 8, LoadsPerSecond: 2, Models: models}},
		{Name: "plain"},
	}})
}

// fleetMessage returns the report of an entry that runs requests on some servers of each kind.
func fleetMessage(entry, round int) *wire.CoordExchangeRequest {
	message := &wire.CoordExchangeRequest{Instance: fmt.Sprintf("edge-%03d", entry)}
	server := func(index int) string { return fmt.Sprintf("server-%04d", index) }
	for request := range 20 {
		engine, plain := (entry*7+round*3+request*31)%fleetEngines, fleetEngines+(entry*11+round*5+request*37)%(fleetServers-fleetEngines)
		message.Loads = append(message.Loads, &wire.CoordServerLoad{Server: server(engine), Running: 1}, &wire.CoordServerLoad{Server: server(plain), Running: 1})
		message.ModelLoads = append(message.ModelLoads, &wire.CoordModelLoad{Server: server(engine), Born: 1, Model: fmt.Sprintf("model-%02d", engine%40), Running: 1})
		message.EngineUses = append(message.EngineUses, &wire.CoordEngineUse{
			Server: server(engine), Born: 1, Events: 40, EventMilliseconds: 1500,
			Readings: []*wire.CoordReading{{Tokens: 900, Milliseconds: 70}},
		})
	}
	for model := range 8 {
		message.Demands = append(message.Demands, &wire.CoordModelDemand{Service: "notes", Model: fmt.Sprintf("model-%02d", (entry+model)%40), Work: 0.02, Requests: 1})
	}
	for account := range 60 {
		message.Shares = append(message.Shares, &wire.CoordShare{Account: fmt.Sprintf("account-%02d", account), Share: 0.003, UsagePerSecond: 20, Loan: 30})
	}
	return message
}

// fleet is a coordinator with the reports that its entries send.
type fleet struct {
	server  *coord.Server
	mirror  *mirror.Mirror
	clock   *clockwork.FakeClock
	written int
	// revision is that of the mirror; entries holds what each entry knows.
	revision store.Revision
	entries  []fleetEntry
}

type fleetEntry struct {
	revision, holdings, shares int64
}

func newFleet(tb testing.TB) *fleet {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	source := &blockingSource{}
	servers := pool.New(pool.Config{RegistryPeriod: 1200 * time.Millisecond, Random: func() float64 { return 0 }})
	for index := range fleetServers {
		source.entries = append(source.entries, registryEntry(index, 0, store.Revision(index+1)))
		server := &pool.Server{ID: names.BackendServer(fmt.Sprintf("server-%04d", index)), Service: "plain", Address: fmt.Sprintf("10.0.%d.%d:80", index/250, index%250), Slots: 16, Incarnation: 1}
		if index < fleetEngines {
			server.Service, server.Models = "notes", []names.Model{names.Model(fmt.Sprintf("model-%02d", index%40)), names.Model(fmt.Sprintf("model-%02d", index%37))}
		}
		servers.Put(server)
	}
	fake := clockwork.NewFakeClock()
	timers := clock.NewService(clock.ServiceConfig{Clock: fake})
	copied := mirror.New(mirror.Config{Source: source, Handler: mirror.PrefixHandlers{}, Clock: timers, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go copied.Run(ctx)
	for copied.Revision() == 0 {
		time.Sleep(time.Millisecond)
	}
	snapshot := fleetSnapshot()
	coordinator := coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: &acceptingEngine{}, Clock: timers, Log: log, Instance: "edge-x", Cores: 0.8, Metrics: metrics.NewRegistry(),
		Policy: func() *policy.Snapshot { return snapshot }, Servers: servers.Servers, ColdRate: servers.ColdRate, Evacuated: servers.Evacuated,
		Term: func() int64 { return term }, UnconfirmedTerm: func() int64 { return term }, Fenced: true, ShareStore: emptyShareStore{}, CrashStore: &crashStore{}, Mirror: copied,
		LatestRevision: func(context.Context) (store.Revision, error) { return copied.Revision(), nil }, LoadWindow: 5 * time.Second,
	})
	tb.Cleanup(coordinator.EndTerm)
	coordinator.BeginTerm(ctx, term)
	return &fleet{server: coord.NewServer(coordinator), mirror: copied, clock: fake, revision: copied.Revision(), entries: make([]fleetEntry, fleetEntries)}
}

// write has some servers write their entries of the registry.
func (fleet *fleet) write(count int) {
	var entries []store.Entry
	for range count {
		fleet.revision++
		entries = append(entries, registryEntry(fleet.written%fleetServers, 1+fleet.written/fleetServers, fleet.revision))
		fleet.written++
	}
	fleet.mirror.Confirm(fleet.revision)
	fleet.mirror.Apply(entries, fleet.revision, false)
}

// prepare encodes the report of an entry's round.
func (fleet *fleet) prepare(tb testing.TB, index, round int) []byte {
	tb.Helper()
	entry := &fleet.entries[index]
	message := fleetMessage(index, round)
	message.Revision, message.ShareTerm, message.ShareVersion = entry.revision, term, entry.shares
	message.HoldingsTerm, message.HoldingsVersion = term, entry.holdings
	data, err := proto.Marshal(message)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// answer answers an encoded report as the server does, without the connection, and returns the
// reply and its size before and after compression.
func (fleet *fleet) answer(tb testing.TB, report []byte) (reply *wire.CoordExchangeReply, size, compressed int) {
	tb.Helper()
	message := &wire.CoordExchangeRequest{}
	if err := proto.Unmarshal(report, message); err != nil {
		tb.Fatal(err)
	}
	reply, err := fleet.server.Exchange(context.Background(), message)
	if err != nil {
		tb.Fatal(err)
	}
	data, err := proto.Marshal(reply)
	if err != nil {
		tb.Fatal(err)
	}
	var sent bytes.Buffer
	writer, err := encoding.GetCompressor(gzip.Name).Compress(&sent)
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := writer.Write(data); err != nil {
		tb.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		tb.Fatal(err)
	}
	return reply, len(data), sent.Len()
}

// BenchmarkFleet measures one report of an entry in a fleet of 300 entries and 3,000 servers, 700 of
// which are engines whose requests are scheduled, at the rate at which such a fleet sends reports and
// writes the registry. A second of the coordinator has 1,200 of them.
func BenchmarkFleet(b *testing.B) {
	fleet := newFleet(b)
	size, compressed := 0, 0
	report := func(index, round int) {
		if index == 0 {
			fleet.write(fleetWrites)
		}
		fleet.clock.Advance(fleetRound / fleetEntries)
		data := fleet.prepare(b, index, round)
		b.StartTimer()
		reply, plain, sent := fleet.answer(b, data)
		b.StopTimer()
		size, compressed = size+plain, compressed+sent
		fleet.entries[index] = fleetEntry{revision: reply.GetChangesTo(), holdings: reply.GetHoldingsVersion(), shares: reply.GetShareVersion()}
	}
	b.StopTimer()
	for index := range 20 * fleetEntries {
		report(index%fleetEntries, index/fleetEntries)
	}
	size, compressed = 0, 0
	b.ResetTimer()
	b.StopTimer()
	for index := range b.N {
		report(index%fleetEntries, 20+index/fleetEntries)
	}
	b.ReportMetric(float64(size)/float64(b.N), "reply-B/op")
	b.ReportMetric(float64(compressed)/float64(b.N), "sent-B/op")
}
