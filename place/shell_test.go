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

const shellEntries = 3

var errCut = errors.New("cut")

// shell is three entries, two agents and a store.
type shell struct {
	clock   *clockwork.FakeClock
	store   *proof.Store
	fleet   *fleet.Holder
	keepers map[string]*place.Controller
	sources map[string]*place.Client
	entry   *place.Client
	cut     map[string]bool
}

type fixedSource struct{ snapshot *config.Snapshot }

func (fixedSource fixedSource) Current() *config.Snapshot { return fixedSource.snapshot }

// link calls a keeper without a network.
type link struct {
	grpc.ClientConnInterface
	shell   *shell
	address string
}

func (link link) Invoke(_ context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	request, isRequest := args.(*wire.PlaceExchange)
	news, isNews := reply.(*wire.PlaceNews)
	if link.shell.cut[link.address] || !isRequest || !isNews {
		return errCut
	}
	proto.Merge(news, link.shell.keepers[link.address].Answer(request))
	return nil
}

func newShell() *shell {
	shell := &shell{
		clock: clockwork.NewFakeClock(), store: proof.NewStore(), fleet: fleet.NewHolder(),
		keepers: map[string]*place.Controller{}, sources: map[string]*place.Client{}, cut: map[string]bool{},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := clock.NewService(clock.ServiceConfig{Clock: shell.clock})
	models := fixedSource{config.NewSnapshot(config.SnapshotConfig{Models: newModels(3, constantBytes(10), 1)})}
	dial := func(address string) (grpc.ClientConnInterface, error) {
		return link{shell: shell, address: address}, nil
	}
	for i := range shellEntries {
		name := fmt.Sprintf("entry%d", i)
		shell.keepers[name] = place.NewController(place.ControllerConfig{
			Self: names.Instance(name), Fleet: shell.fleet, Store: shell.store, Source: models, Clock: service, Logger: log,
		})
	}
	for _, server := range []string{"s0", "s1"} {
		var client *place.Client
		client = place.NewClient(place.ClientConfig{
			Self: names.Instance("agent" + server), Fleet: shell.fleet, Clock: service, Dial: dial, Logger: log,
			Report: func() place.Server { return loaded(client.Current(), server, shell.clock.Now()) },
			OnPlan: func(plan *place.Plan) { client.MarkApplied(plan.Version()) },
		})
		shell.sources[server] = client
	}
	shell.entry = place.NewClient(place.ClientConfig{Self: "entry9", Fleet: shell.fleet, Clock: service, Dial: dial, Logger: log})
	shell.list("entry0", "entry1", "entry2")
	return shell
}

// loaded reports that all that the plan wants is usable.
func loaded(plan *place.Plan, server string, now time.Time) place.Server {
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

func (shell *shell) list(entries ...string) {
	var members []fleet.Member
	for _, entry := range entries {
		members = append(members, fleet.NewMember(fleet.MemberConfig{
			Instance: names.Instance(entry), Role: fleet.RoleEntry, State: fleet.StateLive, Address: entry,
		}))
	}
	for server := range shell.sources {
		members = append(members, fleet.NewMember(fleet.MemberConfig{
			Instance: names.Instance("agent" + server), Role: fleet.RoleAgent, State: fleet.StateLive,
			Server: names.BackendServer(server), Domain: names.FailureDomain("d" + server),
		}))
	}
	shell.fleet.Replace(fleet.NewView(members))
}

// run lets every instance but those in paused act for some periods.
func (shell *shell) run(periods int, paused ...string) {
	ctx := context.Background()
	for range periods {
		shell.clock.Advance(place.StepPeriod)
		for _, name := range []string{"entry0", "entry1", "entry2"} {
			if len(paused) == 0 || paused[0] != name {
				shell.keepers[name].Tick(ctx)
			}
		}
		for _, server := range []string{"s0", "s1"} {
			shell.sources[server].Exchange(ctx)
		}
		shell.entry.Exchange(ctx)
	}
}

func (shell *shell) holders() []string {
	var holders []string
	for _, name := range []string{"entry0", "entry1", "entry2"} {
		if shell.keepers[name].HoldsLease() {
			holders = append(holders, name)
		}
	}
	return holders
}

func (shell *shell) swaps() int { return shell.store.Calls()["swap"] }

// placed tells that every model is at both servers, as the entry sees it.
func (shell *shell) placed() bool {
	plan := shell.entry.Current()
	for i := range 3 {
		if plan == nil || len(plan.Servers(names.Model(fmt.Sprintf("m%03d", i)))) != 2 {
			return false
		}
	}
	return true
}

func TestOneHolderPlansForAll(t *testing.T) {
	g := NewWithT(t)
	shell := newShell()
	shell.run(30)
	g.Expect(shell.holders()).To(HaveLen(1))
	g.Expect(shell.placed()).To(BeTrue())
	for server, client := range shell.sources {
		g.Expect(client.Current().Targets()).To(HaveLen(1))
		target, found := client.Current().Target(names.BackendServer(server))
		g.Expect(found).To(BeTrue())
		whole, _ := shell.entry.Current().Target(names.BackendServer(server))
		g.Expect(target).To(Equal(whole))
	}
	swaps, gets := shell.swaps(), shell.store.Calls()["get"]
	shell.run(10)
	g.Expect(shell.swaps()-swaps).To(Equal(10), "a settled plan costs the renewals only")
	g.Expect(shell.store.Calls()["get"]-gets).To(Equal(10), "the heir's look")
}

// A status that the holder has is not sent again, and a new holder gets it.
func TestStatusIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	shell := newShell()
	shell.run(30)
	request, err := place.Request(shell.sources["s0"])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(request.GetStatus().GetUnchanged()).To(BeTrue())
	first := shell.holders()[0]
	controller := shell.keepers[first]
	g.Expect(controller.Answer(request).GetResend()).To(BeFalse())
	other := &wire.PlaceExchange{Status: &wire.PlaceStatus{Server: "s0", Unchanged: true, Content: 1}}
	g.Expect(controller.Answer(other).GetResend()).To(BeTrue(), "another content")
	other.Status.Server = "s9"
	g.Expect(controller.Answer(other).GetResend()).To(BeTrue(), "a server never heard of")
	controller.Close(context.Background())
	shell.run(8, first)
	g.Expect(shell.holders()).NotTo(BeEmpty())
	swaps := shell.store.Calls()["swap"]
	shell.run(20, first)
	g.Expect(shell.placed()).To(BeTrue())
	g.Expect(shell.store.Calls()["swap"]-swaps).To(Equal(20), "the new holder knows enough to change nothing")
}

// A paused holder wakes after another took the duty: it must neither answer
// nor write, and nobody's plan goes back.
func TestPausedHolderWakes(t *testing.T) {
	g := NewWithT(t)
	shell := newShell()
	shell.run(30)
	paused := shell.holders()[0]
	before := shell.entry.Current()
	shell.run(2, paused)
	g.Expect(shell.holders()).To(Equal([]string{paused}), "its permission lasts, so nobody follows yet")
	shell.run(8, paused)
	g.Expect(shell.holders()).To(HaveLen(1))
	g.Expect(shell.holders()[0]).NotTo(Equal(paused))
	known := &wire.PlaceExchange{Instance: "entry9"}
	g.Expect(shell.keepers[paused].Answer(known).GetHeld()).To(BeFalse(), "before its first tick")
	shell.run(30)
	g.Expect(shell.holders()).To(HaveLen(1))
	g.Expect(shell.entry.Current().Version()).To(BeNumerically(">=", before.Version()))
	g.Expect(shell.placed()).To(BeTrue())
}

// canned answers with one piece of news after another.
type canned struct {
	grpc.ClientConnInterface
	news []*wire.PlaceNews
}

func (canned *canned) Invoke(_ context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	news, isNews := reply.(*wire.PlaceNews)
	if !isNews || len(canned.news) == 0 {
		return errCut
	}
	proto.Merge(news, canned.news[0])
	canned.news = canned.news[1:]
	return nil
}

// Late news of an earlier plan, or of an earlier holder, changes nothing.
func TestPlanNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	canned := &canned{}
	for _, plan := range []*wire.PlacePlan{
		{Epoch: 2, Version: 5},
		{Epoch: 2, Version: 4, Targets: []*wire.PlaceTarget{{Server: "s0", Changed: 4}}},
		{Epoch: 1, Version: 6, Targets: []*wire.PlaceTarget{{Server: "s0", Changed: 6}}},
	} {
		canned.news = append(canned.news, &wire.PlaceNews{Held: true, Plan: plan})
	}
	taken := 0
	shell := newShell()
	client := place.NewClient(place.ClientConfig{
		Self: "entry9", Fleet: shell.fleet, Clock: clock.NewService(clock.ServiceConfig{Clock: shell.clock}),
		Dial:   func(string) (grpc.ClientConnInterface, error) { return canned, nil },
		OnPlan: func(*place.Plan) { taken++ },
	})
	for range 3 {
		client.Exchange(context.Background())
	}
	g.Expect(taken).To(Equal(1))
	g.Expect(client.Current().Version()).To(BeEquivalentTo(5))
	g.Expect(client.Current().Targets()).To(BeEmpty())
}

// While the service is down nobody plans, and what is planned stays.
func TestStoreDownKeepsThePlan(t *testing.T) {
	g := NewWithT(t)
	shell := newShell()
	shell.run(30)
	before := shell.entry.Current()
	shell.store.SetDown(true)
	shell.run(30)
	g.Expect(shell.holders()).To(BeEmpty())
	g.Expect(shell.entry.Current()).To(Equal(before))
	shell.store.SetDown(false)
	shell.run(10)
	g.Expect(shell.holders()).To(HaveLen(1))
	g.Expect(shell.placed()).To(BeTrue())
}

// Writes whose answers are lost, with and without effect, at any point of the
// first plans.
func TestLostAnswersLoseNothing(t *testing.T) {
	for at := range 12 {
		for _, lose := range []func(*proof.Store){
			func(store *proof.Store) { store.LoseAnswers(2) },
			func(store *proof.Store) { store.DropWrites(2) },
		} {
			g := NewWithT(t)
			shell := newShell()
			shell.run(at)
			lose(shell.store)
			shell.run(40)
			g.Expect(shell.holders()).To(HaveLen(1))
			g.Expect(shell.placed()).To(BeTrue())
		}
	}
}

// A stopped holder is followed at once, and does not get the duty back before
// its follower stops.
func TestStoppedHolderIsFollowed(t *testing.T) {
	g := NewWithT(t)
	shell := newShell()
	shell.run(10)
	first := shell.holders()[0]
	var rest []string
	for _, name := range []string{"entry0", "entry1", "entry2"} {
		if name != first {
			rest = append(rest, name)
		}
	}
	shell.keepers[first].Close(context.Background())
	shell.list(rest...)
	shell.run(2, first)
	g.Expect(shell.holders()).To(HaveLen(1))
	shell.list("entry0", "entry1", "entry2")
	second := shell.holders()
	shell.run(10)
	g.Expect(shell.holders()).To(Equal(second))
}

// What meters count comes back as demand: the model in demand gets more copies
// than the others.
func TestMeteredDemandReachesThePlan(t *testing.T) {
	g := NewWithT(t)
	shell := newShell()
	meter := place.NewMeter(shell.clock.Now())
	meter.Count(place.Usage{Account: "a", Model: "m000", Adapter: "a0", Tokens: 100, Missed: true})
	meter.Count(place.Usage{Account: "a", Model: "m000", Tokens: 300})
	meter.Count(place.Usage{Account: "b", Model: "m001", Tokens: 200})
	shell.clock.Advance(10 * time.Second)
	demands := place.SumDemands(meter, shell.clock.Now())
	g.Expect(demands).To(ConsistOf(
		place.Demand{
			Model: "m000", TokensPerSecond: 40, Adapters: map[names.Adapter]float64{"a0": 10}, WorstAttainment: 0.75,
		},
		place.Demand{Model: "m001", TokensPerSecond: 20, Adapters: map[names.Adapter]float64{}, WorstAttainment: 1},
	))
}
