package coord_test

import (
	"bytes"
	stdgzip "compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/mem"
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
	conn    *grpc.ClientConn
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
	fleet := &fleet{mirror: copied, clock: fake, revision: copied.Revision(), entries: make([]fleetEntry, fleetEntries)}
	fleet.serve(tb, coordinator)
	return fleet
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

// prepare encodes and compresses the report of an entry's round.
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
	var compressed bytes.Buffer
	writer := stdgzip.NewWriter(&compressed)
	if _, err := writer.Write(data); err != nil {
		tb.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		tb.Fatal(err)
	}
	return compressed.Bytes()
}

// encodedCodec passes on messages that are encoded already.
type encodedCodec struct{}

// Marshal implements [encoding.CodecV2].
func (encodedCodec) Marshal(message any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(*message.(*[]byte))}, nil
}

// Unmarshal implements [encoding.CodecV2].
func (encodedCodec) Unmarshal(data mem.BufferSlice, message any) error {
	*message.(*[]byte) = data.Materialize()
	return nil
}

// Name implements [encoding.CodecV2].
func (encodedCodec) Name() string { return "proto" }

// compressedReplies has a client leave replies compressed, as their reading is no cost of the
// coordinator.
type compressedReplies struct{}

// Do implements [grpc.Decompressor].
func (compressedReplies) Do(reader io.Reader) ([]byte, error) { return io.ReadAll(reader) }

// Type implements [grpc.Decompressor].
func (compressedReplies) Type() string { return gzip.Name }

// serve serves the coordinator on loopback.
func (fleet *fleet) serve(tb testing.TB, coordinator *coord.Coordinator) {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := grpc.NewServer(coord.ServerOptions()...)
	coord.NewServer(coordinator).Register(server)
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(server.Stop)
	fleet.conn, err = grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDecompressor(compressedReplies{}), //nolint:staticcheck // The option that replaces it is of the whole process.
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(encodedCodec{}), grpc.UseCompressor(gzip.Name)))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { fleet.conn.Close() })
}

// answer sends a compressed report and returns the compressed reply.
func (fleet *fleet) answer(tb testing.TB, report []byte) []byte {
	tb.Helper()
	var reply []byte
	if err := fleet.conn.Invoke(context.Background(), wire.Coordination_Exchange_FullMethodName, &report, &reply); err != nil {
		tb.Fatal(err)
	}
	return reply
}

// apply applies an entry's reply and returns its size before compression.
func (fleet *fleet) apply(tb testing.TB, index int, compressed []byte) int {
	tb.Helper()
	reader, err := stdgzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		tb.Fatal(err)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		tb.Fatal(err)
	}
	reply := &wire.CoordExchangeReply{}
	if err := proto.Unmarshal(data, reply); err != nil {
		tb.Fatal(err)
	}
	if !reply.GetFresh() {
		tb.Fatal("the coordinator's copy of the keys is not fresh")
	}
	fleet.entries[index] = fleetEntry{revision: reply.GetChangesTo(), holdings: reply.GetHoldingsVersion(), shares: reply.GetShareVersion()}
	return len(data)
}

// processorTime returns the processor time of the process, which depends less than the time that
// passes on what else the machine does.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFleet measures one report of an entry in a fleet of 300 entries and 3,000 servers, 700 of
// which are engines whose requests are scheduled, at the rate at which such a fleet sends reports and
// writes the registry. A second of the coordinator has 1,200 of them.
func BenchmarkFleet(b *testing.B) {
	fleet := newFleet(b)
	size, compressed, spent := 0, 0, time.Duration(0)
	report := func(index, round int) {
		if index == 0 {
			fleet.write(fleetWrites)
		}
		fleet.clock.Advance(fleetRound / fleetEntries)
		data := fleet.prepare(b, index, round)
		began := processorTime(b)
		b.StartTimer()
		reply := fleet.answer(b, data)
		b.StopTimer()
		spent += processorTime(b) - began
		size, compressed = size+fleet.apply(b, index, reply), compressed+len(reply)
	}
	b.StopTimer()
	for index := range 20 * fleetEntries {
		report(index%fleetEntries, index/fleetEntries)
	}
	size, compressed, spent = 0, 0, 0
	b.ResetTimer()
	b.StopTimer()
	for index := range b.N {
		report(index%fleetEntries, 20+index/fleetEntries)
	}
	b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(size)/float64(b.N), "reply-B/op")
	b.ReportMetric(float64(compressed)/float64(b.N), "sent-B/op")
}
