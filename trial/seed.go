package trial

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
)

const (
	seedRate       = 100_000
	seedBurst      = 200_000
	modelBytes     = 8 << 30
	cacheBytes     = 128 << 10
	objectiveShare = 0.95
	seedVersion    = 0
)

// seedChange returns the change that creates the first configuration of a cluster.
func seedChange(secret []byte) config.Change {
	hasher := ident.NewHasher(secret)
	return config.Change{
		ID: "seed", Operator: "trial", Expected: seedVersion,
		Edits: []config.Edit{
			config.PutAccount{Account: config.NewClientAccount(config.ClientAccountConfig{
				Name: Account, Rate: seedRate, Burst: seedBurst, Weight: 1,
			})},
			config.PutKey{Key: config.NewKey(config.KeyConfig{
				Name: "levuka-1", Account: Account, Hash: hasher.Hash(Secret),
			})},
			config.PutModel{Model: config.NewModel(config.ModelConfig{
				Name: Model, WeightBytes: modelBytes, CacheBytesPerToken: cacheBytes,
				Adapters: []config.Adapter{config.NewAdapter(config.AdapterConfig{Name: Adapter, WeightBytes: modelBytes / 64})},
			})},
			config.PutModel{Model: config.NewModel(config.ModelConfig{
				Name: ColdModel, WeightBytes: modelBytes / 2, CacheBytesPerToken: cacheBytes,
			})},
			config.PutRoutes{Service: Service, Routes: seedRoutes()},
			objective(call.KindInteractive, call.ObjectiveConfig{
				FirstToken: 460 * time.Millisecond, BetweenTokens: 46 * time.Millisecond, Share: objectiveShare,
			}),
			objective(call.KindVerdict, call.ObjectiveConfig{Whole: 10 * time.Second, Share: objectiveShare}),
			objective(call.KindTransaction, call.ObjectiveConfig{Whole: 5 * time.Second, Share: objectiveShare}),
			objective(call.KindBatch, call.ObjectiveConfig{Whole: time.Hour, Share: objectiveShare}),
		},
	}
}

func seedRoutes() []config.Route {
	return []config.Route{
		config.NewRoute(config.RouteConfig{
			Service: Service, Method: "POST", PathPrefix: "/orders", Kind: call.KindTransaction, Tokens: 1,
		}),
		config.NewRoute(config.RouteConfig{
			Service: Service, Method: "GET", PathPrefix: "/tides", Kind: call.KindTransaction, Idempotent: true, Open: true,
		}),
		config.NewRoute(config.RouteConfig{
			Service: Service, Method: "GET", PathPrefix: "/", Kind: call.KindTransaction, Idempotent: true, Tokens: 1,
		}),
	}
}

func objective(kind call.Kind, objective call.ObjectiveConfig) config.Edit {
	return config.PutObjective{Kind: kind, Objective: call.NewObjective(objective)}
}
