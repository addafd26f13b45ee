package quiz

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// changeIDLength is the number of characters of the edits' hash in a change id.
const changeIDLength = 22

// NewChange returns the change of configuration that implements answers. It
// keeps adapters that the answers don't name and bounds of objectives that are
// stricter than the answers. The change's id is a hash of its content, so that a
// retry after a lost response has the same id.
func NewChange(answers *Answers, current *config.Snapshot) config.Change {
	change := config.Change{Expected: current.Version()}
	for i := range answers.Accounts {
		account := &answers.Accounts[i]
		change.Edits = append(change.Edits, config.PutAccount{Account: config.NewClientAccount(config.ClientAccountConfig{
			Name: names.ClientAccount(account.Name), Rate: answers.rate(account), Burst: answers.burst(account), Weight: int(account.Weight),
		})})
	}
	for i := range answers.Models {
		for _, name := range answers.Models[i].Names {
			change.Edits = append(change.Edits, config.PutModel{Model: answers.Models[i].model(names.Model(name), current)})
		}
	}
	change.Edits = append(change.Edits, routeEdits(answers.Calls)...)
	for _, kind := range call.Kinds() {
		objective := stricter(current.Objective(kind), answers.Delays.ForKind(kind).objective())
		change.Edits = append(change.Edits, config.PutObjective{Kind: kind, Objective: objective})
	}
	change.ID = config.ChangeID("quiz-" + string(config.HashOf(config.EncodeChange(change))[:changeIDLength]))
	return change
}

// model returns the configuration of the model called name. It includes adapters
// in the current configuration that the group does not replace.
func (group *ModelGroup) model(name names.Model, current *config.Snapshot) config.Model {
	model := config.ModelConfig{Name: name, WeightBytes: group.weightBytes(), CacheBytesPerToken: group.cacheBytesPerToken()}
	if before, ok := current.Model(name); ok {
		for _, adapter := range before.Adapters() {
			if !slices.Contains(group.Adapters, string(adapter.Name())) {
				model.Adapters = append(model.Adapters, adapter)
			}
		}
	}
	for _, adapter := range group.Adapters {
		model.Adapters = append(model.Adapters, config.NewAdapter(config.AdapterConfig{Name: names.Adapter(adapter), WeightBytes: group.adapterBytes()}))
	}
	return config.NewModel(model)
}

// routeEdits returns one edit per service, with its routes ordered by path, longest
// first, and then by method, longest first and any method last.
func routeEdits(calls []ServiceCall) []config.Edit {
	ordered := slices.Clone(calls)
	slices.SortStableFunc(ordered, func(a, b ServiceCall) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(len(b.Method), len(a.Method)), cmp.Compare(a.Method, b.Method))
	})
	var edits []config.Edit
	for len(ordered) > 0 {
		service := names.Service(ordered[0].Service)
		var routes []config.Route
		for len(ordered) > 0 && names.Service(ordered[0].Service) == service {
			routes = append(routes, ordered[0].route())
			ordered = ordered[1:]
		}
		edits = append(edits, config.PutRoutes{Service: service, Routes: routes})
	}
	return edits
}

func (serviceCall ServiceCall) route() config.Route {
	return config.NewRoute(config.RouteConfig{
		Service: names.Service(serviceCall.Service), Method: serviceCall.Method, PathPrefix: serviceCall.Path,
		Open: serviceCall.Open, Idempotent: serviceCall.Repeatable, Kind: call.KindTransaction, Tokens: call.Tokens(serviceCall.Tokens),
	})
}

// stricter returns an objective whose every bound is the tighter one of a and b.
func stricter(a, b call.Objective) call.Objective {
	return call.NewObjective(call.ObjectiveConfig{
		FirstToken:    tighter(a.FirstToken(), b.FirstToken()),
		BetweenTokens: tighter(a.BetweenTokens(), b.BetweenTokens()),
		Whole:         tighter(a.Whole(), b.Whole()),
		Share:         max(a.Share(), b.Share()),
	})
}

// tighter returns the smaller of two bounds. A bound of zero means none.
func tighter(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
