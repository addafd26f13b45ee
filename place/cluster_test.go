package place_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/wire"
)

const clusterEntries = 3

var errUnreachable = errors.New("cut")

// cluster has three entries with a controller each, two agents, another entry
// that only follows the plan, and a store.
type cluster struct {
	clock       *clockwork.FakeClock
	store       *proof.Store
	fleet       *fleet.AtomicSource
	controllers map[string]*place.Controller
	clients     map[string]*place.Client
	entry       *place.Client
	unreachable map[string]bool
}

type fixedSource struct{ snapshot *config.Snapshot }

func (fixedSource fixedSource) Current() *config.Snapshot { return fixedSource.snapshot }

// link is a connection that calls a controller directly.
type link struct {
	grpc.ClientConnInterface
	cluster *cluster
	address string
}

func (link link) Invoke(_ context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	request, isRequest := args.(*wire.PlaceExchange)
	news, isNews := reply.(*wire.PlaceNews)
	if link.cluster.unreachable[link.address] || !isRequest || !isNews {
		return errUnreachable
	}
	proto.Merge(news, link.cluster.controllers[link.address].Exchange(request))
	return nil
}

func newCluster() *cluster {
	cluster := &cluster{
		clock: clockwork.NewFakeClock(), store: proof.NewStore(), fleet: fleet.NewAtomicSource(),
		controllers: map[string]*place.Controller{}, clients: map[string]*place.Client{}, unreachable: map[string]bool{},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := clock.NewService(clock.ServiceConfig{Clock: cluster.clock})
	models := fixedSource{config.NewSnapshot(config.SnapshotConfig{Models: newModels(3, constantBytes(10), 1)})}
	dial := func(address string) (grpc.ClientConnInterface, error) {
		return link{cluster: cluster, address: address}, nil
	}
	for i := range clusterEntries {
		name := fmt.Sprintf("entry%d", i)
		cluster.controllers[name] = place.NewController(place.ControllerConfig{
			Self: names.Instance(name), Fleet: cluster.fleet, Store: cluster.store, Source: models, Clock: service, Logger: log,
		})
	}
	for _, server := range []string{"s0", "s1"} {
		var client *place.Client
		client = place.NewClient(place.ClientConfig{
			Self: names.Instance("agent" + server), Fleet: cluster.fleet, Clock: service, Dial: dial, Logger: log,
			Report: func() place.Server { return loadedReport(client.Current(), server, cluster.clock.Now()) },
			OnPlan: func(plan *place.Plan) { client.MarkApplied(plan.Version()) },
		})
		cluster.clients[server] = client
	}
	cluster.entry = place.NewClient(place.ClientConfig{Self: "entry9", Fleet: cluster.fleet, Clock: service, Dial: dial, Logger: log})
	cluster.setMembers("entry0", "entry1", "entry2")
	return cluster
}

// loadedReport returns the report of a server on which all items of its target are
// usable.
func loadedReport(plan *place.Plan, server string, now time.Time) place.Server {
	report := place.Server{Name: names.BackendServer(server), ReportedAt: now, MemoryBytes: fuzzMemory}
	if plan == nil {
		return report
	}
	target, _ := plan.Target(report.Name)
	for _, assignment := range target.Items {
		report.Reserved = append(report.Reserved, assignment.Weights)
		report.Usable = append(report.Usable, assignment.Weights.Item)
	}
	return report
}

func (cluster *cluster) setMembers(entries ...string) {
	var members []fleet.Member
	for _, entry := range entries {
		members = append(members, fleet.NewMember(fleet.MemberConfig{
			Instance: names.Instance(entry), Role: fleet.RoleEntry, State: fleet.StateLive, Address: entry,
		}))
	}
	for server := range cluster.clients {
		members = append(members, fleet.NewMember(fleet.MemberConfig{
			Instance: names.Instance("agent" + server), Role: fleet.RoleAgent, State: fleet.StateLive,
			Server: names.BackendServer(server), Domain: names.FailureDomain("d" + server),
		}))
	}
	cluster.fleet.Replace(fleet.NewView(members))
}

// run runs all instances for some periods, except the entry in paused.
func (cluster *cluster) run(periods int, paused ...string) {
	ctx := context.Background()
	for range periods {
		cluster.clock.Advance(place.StepPeriod)
		for _, name := range []string{"entry0", "entry1", "entry2"} {
			if len(paused) == 0 || paused[0] != name {
				cluster.controllers[name].Tick(ctx)
			}
		}
		for _, server := range []string{"s0", "s1"} {
			cluster.clients[server].Exchange(ctx)
		}
		cluster.entry.Exchange(ctx)
	}
}

func (cluster *cluster) holders() []string {
	var holders []string
	for _, name := range []string{"entry0", "entry1", "entry2"} {
		if cluster.controllers[name].HoldsLease() {
			holders = append(holders, name)
		}
	}
	return holders
}

func (cluster *cluster) swaps() int { return cluster.store.Calls()["swap"] }

// placed reports whether the following entry has a plan with every model on both
// servers.
func (cluster *cluster) placed() bool {
	plan := cluster.entry.Current()
	for i := range 3 {
		if plan == nil || len(plan.Servers(names.Model(fmt.Sprintf("m%03d", i)))) != 2 {
			return false
		}
	}
	return true
}

func TestOneHolderPlansForAll(t *testing.T) {
	g := NewWithT(t)
	cluster := newCluster()
	cluster.run(30)
	g.Expect(cluster.holders()).To(HaveLen(1))
	g.Expect(cluster.placed()).To(BeTrue())
	for server, client := range cluster.clients {
		g.Expect(client.Current().Targets()).To(HaveLen(1))
		target, found := client.Current().Target(names.BackendServer(server))
		g.Expect(found).To(BeTrue())
		whole, _ := cluster.entry.Current().Target(names.BackendServer(server))
		g.Expect(target).To(Equal(whole))
	}
	swaps, gets := cluster.swaps(), cluster.store.Calls()["get"]
	cluster.run(10)
	g.Expect(cluster.swaps()-swaps).To(Equal(10), "an unchanged plan costs only the renewals of the lease")
	g.Expect(cluster.store.Calls()["get"]-gets).To(Equal(10), "the second candidate reads the lease")
}

// An agent does not send a status again that the lease holder has acknowledged. A
// new holder asks for it.
func TestStatusIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	cluster := newCluster()
	cluster.run(30)
	request, err := place.Request(cluster.clients["s0"])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(request.GetStatus().GetUnchanged()).To(BeTrue())
	first := cluster.holders()[0]
	controller := cluster.controllers[first]
	g.Expect(controller.Exchange(request).GetResend()).To(BeFalse())
	other := &wire.PlaceExchange{Status: &wire.PlaceStatus{Server: "s0", Unchanged: true, Content: 1}}
	g.Expect(controller.Exchange(other).GetResend()).To(BeTrue(), "different content")
	other.Status.Server = "s9"
	g.Expect(controller.Exchange(other).GetResend()).To(BeTrue(), "an unknown server")
	controller.Close(context.Background())
	cluster.run(8, first)
	g.Expect(cluster.holders()).NotTo(BeEmpty())
	swaps := cluster.store.Calls()["swap"]
	cluster.run(20, first)
	g.Expect(cluster.placed()).To(BeTrue())
	g.Expect(cluster.store.Calls()["swap"]-swaps).To(Equal(20), "the new holder has all reports, so it changes nothing")
}

// A holder is paused until another instance has acquired the lease. When it
// resumes it must neither answer nor write, and no instance may return to an
// older plan.
func TestPausedHolderWakes(t *testing.T) {
	g := NewWithT(t)
	cluster := newCluster()
	cluster.run(30)
	paused := cluster.holders()[0]
	before := cluster.entry.Current()
	cluster.run(2, paused)
	g.Expect(cluster.holders()).To(Equal([]string{paused}), "its lease is still valid, so no other instance acquires it yet")
	cluster.run(8, paused)
	g.Expect(cluster.holders()).To(HaveLen(1))
	g.Expect(cluster.holders()[0]).NotTo(Equal(paused))
	known := &wire.PlaceExchange{Instance: "entry9"}
	g.Expect(cluster.controllers[paused].Exchange(known).GetHeld()).To(BeFalse(), "before its first tick")
	cluster.run(30)
	g.Expect(cluster.holders()).To(HaveLen(1))
	g.Expect(cluster.entry.Current().Version()).To(BeNumerically(">=", before.Version()))
	g.Expect(cluster.placed()).To(BeTrue())
}

// cannedReplies is a connection that returns the given responses in order.
type cannedReplies struct {
	grpc.ClientConnInterface
	news []*wire.PlaceNews
}

func (cannedReplies *cannedReplies) Invoke(_ context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	news, isNews := reply.(*wire.PlaceNews)
	if !isNews || len(cannedReplies.news) == 0 {
		return errUnreachable
	}
	proto.Merge(news, cannedReplies.news[0])
	cannedReplies.news = cannedReplies.news[1:]
	return nil
}

// A late response with an earlier plan, or from an earlier lease holder, is
// ignored.
func TestPlanNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	cannedReplies := &cannedReplies{}
	for _, plan := range []*wire.PlacePlan{
		{Epoch: 2, Version: 5},
		{Epoch: 2, Version: 4, Targets: []*wire.PlaceTarget{{Server: "s0", Changed: 4}}},
		{Epoch: 1, Version: 6, Targets: []*wire.PlaceTarget{{Server: "s0", Changed: 6}}},
	} {
		cannedReplies.news = append(cannedReplies.news, &wire.PlaceNews{Held: true, Plan: plan})
	}
	taken := 0
	cluster := newCluster()
	client := place.NewClient(place.ClientConfig{
		Self: "entry9", Fleet: cluster.fleet, Clock: clock.NewService(clock.ServiceConfig{Clock: cluster.clock}),
		Dial:   func(string) (grpc.ClientConnInterface, error) { return cannedReplies, nil },
		OnPlan: func(*place.Plan) { taken++ },
	})
	for range 3 {
		client.Exchange(context.Background())
	}
	g.Expect(taken).To(Equal(1))
	g.Expect(client.Current().Version()).To(BeEquivalentTo(5))
	g.Expect(client.Current().Targets()).To(BeEmpty())
}

// While the store is unavailable no instance plans, and the last plan stays.
func TestStoreDownKeepsThePlan(t *testing.T) {
	g := NewWithT(t)
	cluster := newCluster()
	cluster.run(30)
	before := cluster.entry.Current()
	cluster.store.SetDown(true)
	cluster.run(30)
	g.Expect(cluster.holders()).To(BeEmpty())
	g.Expect(cluster.entry.Current()).To(Equal(before))
	cluster.store.SetDown(false)
	cluster.run(10)
	g.Expect(cluster.holders()).To(HaveLen(1))
	g.Expect(cluster.placed()).To(BeTrue())
}

// The responses to two writes are lost, with or without the writes taking effect,
// at different times during the first plans.
func TestLostAnswersLoseNothing(t *testing.T) {
	for at := range 12 {
		for _, lose := range []func(*proof.Store){
			func(store *proof.Store) { store.LoseAnswers(2) },
			func(store *proof.Store) { store.DropWrites(2) },
		} {
			g := NewWithT(t)
			cluster := newCluster()
			cluster.run(at)
			lose(cluster.store)
			cluster.run(40)
			g.Expect(cluster.holders()).To(HaveLen(1))
			g.Expect(cluster.placed()).To(BeTrue())
		}
	}
}

// When the holder stops, another instance acquires the released lease at once. It
// keeps the lease when the first instance returns.
func TestStoppedHolderIsReplaced(t *testing.T) {
	g := NewWithT(t)
	cluster := newCluster()
	cluster.run(10)
	first := cluster.holders()[0]
	var rest []string
	for _, name := range []string{"entry0", "entry1", "entry2"} {
		if name != first {
			rest = append(rest, name)
		}
	}
	cluster.controllers[first].Close(context.Background())
	cluster.setMembers(rest...)
	cluster.run(2, first)
	g.Expect(cluster.holders()).To(HaveLen(1))
	cluster.setMembers("entry0", "entry1", "entry2")
	second := cluster.holders()
	cluster.run(10)
	g.Expect(cluster.holders()).To(Equal(second))
}

// The counts of a meter are converted to rates of each model and its adapters,
// with the worst attainment of the client accounts that use the model.
func TestMeteredDemandIsSummed(t *testing.T) {
	g := NewWithT(t)
	cluster := newCluster()
	meter := place.NewMeter(cluster.clock.Now())
	meter.Count(place.Usage{Account: "a", Model: "m000", Adapter: "a0", Tokens: 100, Missed: true})
	meter.Count(place.Usage{Account: "a", Model: "m000", Tokens: 300})
	meter.Count(place.Usage{Account: "b", Model: "m001", Tokens: 200})
	cluster.clock.Advance(10 * time.Second)
	demands := place.SumDemands(meter, cluster.clock.Now())
	g.Expect(demands).To(ConsistOf(
		place.Demand{
			Model: "m000", TokensPerSecond: 40, Adapters: map[names.Adapter]float64{"a0": 10}, WorstAttainment: 0.75,
		},
		place.Demand{Model: "m001", TokensPerSecond: 20, Adapters: map[names.Adapter]float64{}, WorstAttainment: 1},
	))
}
