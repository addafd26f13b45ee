package node

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/member"
)

// followFleet rebuilds the routes whenever the view of the fleet changes.
func followFleet(lifecycle fx.Lifecycle, placement *placement, service *member.Service, registry metrics.Registry) {
	withheld := metrics.GetOrRegisterGauge("route.withheld", registry)
	metrics.NewRegisteredFunctionalGauge("route.replicas", registry, placement.minReplicas)
	background(lifecycle, func(ctx context.Context) {
		go func() {
			for {
				changed := service.Changed()
				placement.rebuild()
				withheld.Update(countWithheld(service.Current()))
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
			}
		}()
	})
}

// countWithheld returns the number of agents that get no new work.
func countWithheld(view *fleet.View) int64 {
	var count int64
	for _, member := range view.ByRole(fleet.RoleAgent) {
		if member.State() != fleet.StateLive {
			count++
		}
	}
	return count
}
