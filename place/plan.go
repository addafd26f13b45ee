package place

import (
	"sort"

	"github.com/basilkeel/basilkeel/names"
)

// PlanConfig carries the parts of a [Plan].
type PlanConfig struct {
	Epoch   int64
	Version Version
	Targets []Target
}

// Plan is one placement of models on servers. It is immutable.
type Plan struct {
	config  PlanConfig
	targets map[names.BackendServer]Target
	servers map[names.Model][]names.BackendServer
}

// NewPlan indexes the parts given by config, which the caller must not change
// afterwards.
func NewPlan(config PlanConfig) *Plan {
	plan := &Plan{
		config:  config,
		targets: make(map[names.BackendServer]Target, len(config.Targets)),
		servers: make(map[names.Model][]names.BackendServer),
	}
	sort.Slice(config.Targets, func(i, j int) bool { return config.Targets[i].Server < config.Targets[j].Server })
	for _, target := range config.Targets {
		plan.targets[target.Server] = target
		for _, assignment := range target.Items {
			item := assignment.Weights.Item
			if item.Adapter == "" {
				plan.servers[item.Model] = append(plan.servers[item.Model], target.Server)
			}
		}
	}
	return plan
}

// Version numbers the plan.
func (plan *Plan) Version() Version { return plan.config.Version }

// Epoch numbers the holders of the duty of planning.
func (plan *Plan) Epoch() int64 { return plan.config.Epoch }

// NewerThan tells that plan comes after other, which may be nil.
func (plan *Plan) NewerThan(other *Plan) bool {
	if other == nil {
		return true
	}
	return plan.Version() > other.Version() && plan.Epoch() >= other.Epoch()
}

// Targets lists the targets by server. The caller must not change the slice.
func (plan *Plan) Targets() []Target { return plan.config.Targets }

// Target returns what the plan wants at server.
func (plan *Plan) Target(server names.BackendServer) (Target, bool) {
	target, ok := plan.targets[server]
	return target, ok
}

// Servers lists the servers that hold or load model, in a fixed order. The
// caller must not change the slice.
func (plan *Plan) Servers(model names.Model) []names.BackendServer { return plan.servers[model] }
