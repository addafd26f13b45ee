package place

import (
	"sort"

	"github.com/basilkeel/basilkeel/names"
)

// PlanConfig holds the parts of a [Plan].
type PlanConfig struct {
	Epoch   int64
	Version Version
	Targets []Target
}

// Plan assigns models and adapters to servers. It is immutable.
type Plan struct {
	config  PlanConfig
	targets map[names.BackendServer]Target
	servers map[names.Model][]names.BackendServer
}

// NewPlan returns a plan of the parts in config, which the caller must not
// change afterwards.
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

// Version returns the version of the plan.
func (plan *Plan) Version() Version { return plan.config.Version }

// Epoch returns the epoch of the planning lease in which the plan was made.
func (plan *Plan) Epoch() int64 { return plan.config.Epoch }

// NewerThan reports whether plan supersedes other, which may be nil. The version
// has to be higher, and the epoch must not be lower.
func (plan *Plan) NewerThan(other *Plan) bool {
	if other == nil {
		return true
	}
	return plan.Version() > other.Version() && plan.Epoch() >= other.Epoch()
}

// Targets returns the targets, sorted by server. The caller must not change the
// slice.
func (plan *Plan) Targets() []Target { return plan.config.Targets }

// Target returns the target of server, and false if the plan has none.
func (plan *Plan) Target(server names.BackendServer) (Target, bool) {
	target, ok := plan.targets[server]
	return target, ok
}

// Servers returns the servers with model in their target, sorted by name. The
// caller must not change the slice.
func (plan *Plan) Servers(model names.Model) []names.BackendServer { return plan.servers[model] }
