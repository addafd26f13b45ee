package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/entry"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// surveyPeriod is the time between two rounds of asking agents what they serve.
	surveyPeriod = time.Second
	// surveyTimeout bounds one question.
	surveyTimeout = 500 * time.Millisecond
	// surveyWorkers bounds the questions under way.
	surveyWorkers = 16
)

// placement is the [route.Plan] of an entry: the plan in force, and before the
// first one what agents say they serve.
type placement struct {
	view fleet.Source

	// mu guards all below.
	mu      sync.RWMutex
	version int64
	servers map[route.Target][]route.Replica
	models  map[names.BackendServer][]string
	plan    *place.Plan
}

var _ route.Plan = (*placement)(nil)

func newPlan(view fleet.Source) (*placement, route.Plan) {
	placement := &placement{view: view, models: make(map[names.BackendServer][]string)}
	return placement, placement
}

// surveyPlacement asks agents again and again what they serve.
func surveyPlacement(lifecycle fx.Lifecycle, placement *placement, agentPool *entry.AgentPool, clock *clock.Service) {
	background(lifecycle, func(ctx context.Context) {
		survey := func(ctx context.Context, _ time.Time) { placement.survey(ctx, agentPool) }
		survey(ctx, clock.Now())
		clock.Subscribe(ctx, surveyPeriod, survey)
	})
}

// Version implements [route.Plan].
func (placement *placement) Version() int64 {
	placement.mu.RLock()
	defer placement.mu.RUnlock()
	return placement.version
}

// Replicas implements [route.Plan].
func (placement *placement) Replicas(target route.Target) []route.Replica {
	placement.mu.RLock()
	defer placement.mu.RUnlock()
	return placement.servers[target]
}

// fewest is the least number of servers that stay, of any model that is planned.
func (placement *placement) fewest() int64 {
	placement.mu.RLock()
	defer placement.mu.RUnlock()
	fewest, found := int64(0), false
	for target, replicas := range placement.servers {
		if target.Model == "" {
			continue
		}
		staying := int64(0)
		for _, replica := range replicas {
			if !replica.Leaving {
				staying++
			}
		}
		if !found || staying < fewest {
			fewest, found = staying, true
		}
	}
	return fewest
}

// adopt takes a newer plan.
func (placement *placement) adopt(plan *place.Plan) {
	placement.mu.Lock()
	placement.plan = plan
	placement.mu.Unlock()
	placement.rebuild()
}

// planned tells whether there is a plan, so that agents need not be asked.
func (placement *placement) planned() bool {
	placement.mu.RLock()
	defer placement.mu.RUnlock()
	return placement.plan != nil
}

// survey asks every live agent what it serves, as long as there is no plan.
func (placement *placement) survey(ctx context.Context, agentPool *entry.AgentPool) {
	if placement.planned() {
		placement.rebuild()
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(surveyWorkers)
	for _, member := range placement.view.Current().ByRole(fleet.RoleAgent) {
		group.Go(func() error {
			placement.ask(ctx, agentPool, member.Server())
			return nil
		})
	}
	// The questions give no error: an agent that does not answer keeps its place
	// until the list drops it, and the router sets it aside.
	_ = group.Wait()
	placement.rebuild()
}

func (placement *placement) ask(ctx context.Context, agentPool *entry.AgentPool, server names.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	client, err := agentPool.Connect(ctx, server)
	if err != nil {
		return
	}
	load, err := client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return
	}
	placement.mu.Lock()
	defer placement.mu.Unlock()
	placement.models[server] = load.GetModels()
}

// rebuild makes the table of replicas anew and raises the version if it changed.
func (placement *placement) rebuild() {
	placement.mu.Lock()
	defer placement.mu.Unlock()
	next := make(map[route.Target][]route.Replica)
	for _, member := range placement.view.Current().ByRole(fleet.RoleAgent) {
		replica := route.Replica{
			Server: member.Server(), Domain: member.Domain(), Leaving: member.State() != fleet.StateLive,
		}
		if member.Service() != "" {
			target := route.Target{Service: member.Service()}
			next[target] = append(next[target], replica)
		}
		for _, model := range placement.serves(member.Server()) {
			target := route.Target{Model: model}
			next[target] = append(next[target], replica)
		}
	}
	if !sameReplicas(placement.servers, next) {
		placement.servers = next
		placement.version++
	}
}

// serves lists the models of a server, by the plan those that it holds or loads.
// The caller holds mu.
func (placement *placement) serves(server names.BackendServer) []names.Model {
	var models []names.Model
	if placement.plan == nil {
		for _, model := range placement.models[server] {
			models = append(models, names.Model(model))
		}
		return models
	}
	target, _ := placement.plan.Target(server)
	for _, assignment := range target.Items {
		if assignment.Weights.Item.Adapter == "" {
			models = append(models, assignment.Weights.Item.Model)
		}
	}
	return models
}

func sameReplicas(left, right map[route.Target][]route.Replica) bool {
	if len(left) != len(right) {
		return false
	}
	for target, replicas := range left {
		if !slices.Equal(replicas, right[target]) {
			return false
		}
	}
	return true
}
