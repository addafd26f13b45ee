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
	// pollPeriod is the interval at which agents are polled for the models that
	// they serve.
	pollPeriod = time.Second
	// pollTimeout is the timeout of polling one agent.
	pollTimeout = 500 * time.Millisecond
	// maxConcurrentPolls is the maximum number of agents polled at a time.
	maxConcurrentPolls = 16
)

// placement is the [route.Plan] of an entry. It follows the current placement
// plan. Until a plan has a target for a server, it uses the models that the server's agent
// reports, as the agent keeps them until then.
type placement struct {
	view fleet.Source

	// mu guards the fields below.
	mu       sync.RWMutex
	version  int64
	replicas map[route.Target][]route.Replica
	models   map[names.BackendServer][]string
	plan     *place.Plan
}

var _ route.Plan = (*placement)(nil)

func newPlan(view fleet.Source) (*placement, route.Plan) {
	placement := &placement{view: view, models: make(map[names.BackendServer][]string)}
	return placement, placement
}

// pollPlacement polls the agents periodically for the models that they serve.
func pollPlacement(lifecycle fx.Lifecycle, placement *placement, agentPool *entry.AgentPool, clock *clock.Service) {
	background(lifecycle, func(ctx context.Context) {
		poll := func(ctx context.Context, _ time.Time) { placement.poll(ctx, agentPool) }
		poll(ctx, clock.Now())
		clock.Subscribe(ctx, pollPeriod, poll)
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
	return placement.replicas[target]
}

// minReplicas returns the smallest number of replicas that are not leaving, over
// all models that have replicas.
func (placement *placement) minReplicas() int64 {
	placement.mu.RLock()
	defer placement.mu.RUnlock()
	least, found := int64(0), false
	for target, replicas := range placement.replicas {
		if target.Model == "" {
			continue
		}
		staying := int64(0)
		for _, replica := range replicas {
			if !replica.Leaving {
				staying++
			}
		}
		if !found || staying < least {
			least, found = staying, true
		}
	}
	return least
}

// setPlan sets the current plan and rebuilds the replicas.
func (placement *placement) setPlan(plan *place.Plan) {
	placement.mu.Lock()
	placement.plan = plan
	placement.mu.Unlock()
	placement.rebuild()
}

// unplanned returns the servers whose agents have to be polled: those without a target,
// except for servers that have reported no models while there is a plan. Without that
// exception every entry would go on polling all spare servers of a large fleet.
func (placement *placement) unplanned() []names.BackendServer {
	placement.mu.RLock()
	defer placement.mu.RUnlock()
	var servers []names.BackendServer
	for _, member := range placement.view.Current().ByRole(fleet.RoleAgent) {
		if placement.plan != nil {
			_, planned := placement.plan.Target(member.Server())
			models, known := placement.models[member.Server()]
			if planned || (known && len(models) == 0) {
				continue
			}
		}
		servers = append(servers, member.Server())
	}
	return servers
}

// poll polls the agents of servers without a target for the models that they serve, and
// rebuilds the replicas.
func (placement *placement) poll(ctx context.Context, agentPool *entry.AgentPool) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentPolls)
	for _, server := range placement.unplanned() {
		group.Go(func() error {
			placement.pollAgent(ctx, agentPool, server)
			return nil
		})
	}
	// Polling returns no errors: an agent that does not answer keeps its models
	// until it leaves the instance list, and the router ejects it meanwhile.
	_ = group.Wait()
	placement.rebuild()
}

func (placement *placement) pollAgent(ctx context.Context, agentPool *entry.AgentPool, server names.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
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

// rebuild recomputes the replicas, and increments the version if they changed.
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
		for _, model := range placement.modelsOf(member.Server()) {
			target := route.Target{Model: model}
			next[target] = append(next[target], replica)
		}
	}
	if !sameReplicas(placement.replicas, next) {
		placement.replicas = next
		placement.version++
	}
}

// modelsOf returns the models of a server: those that the plan assigns to it, or, if it has no
// target for the server, those that its agent last reported. The caller must hold mu.
func (placement *placement) modelsOf(server names.BackendServer) []names.Model {
	var models []names.Model
	target, planned := place.Target{}, false
	if placement.plan != nil {
		target, planned = placement.plan.Target(server)
	}
	if !planned {
		for _, model := range placement.models[server] {
			models = append(models, names.Model(model))
		}
		return models
	}
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
