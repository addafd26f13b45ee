package node

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ready"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/setup"
)

// newReadyJudge returns the judge of whether this instance keeps up. It observes the delays of
// a timer while the process runs, if the settings ask for pauses.
func newReadyJudge(lifecycle fx.Lifecycle, host *setup.Host, relay *relay.Relay, client *coord.Client, clock *clock.Service, registry metrics.Registry, log logrus.FieldLogger) *ready.Judge {
	judge := ready.NewJudge(ready.JudgeConfig{Enabled: host.PauseWhenOverloaded, Instance: host.Instance, Cores: host.Cores, StartedAt: clock.Now()})
	if !host.PauseWhenOverloaded {
		return judge
	}
	pauses := metrics.GetOrRegisterCounter("ready.pauses", registry)
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			clock.Subscribe(ctx, ready.TickPeriod, func(context.Context, time.Time) {
				now := clock.Now()
				if judge.Tick(ready.Tick{Now: now, Wall: now, Entries: client.EntryCount(), Busy: relay.ActiveRequests() > 0}) {
					pauses.Inc(1)
					event.InstancePaused.Log(log, logrus.Fields{"active": relay.ActiveRequests(), "cores": host.Cores})
				}
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
	return judge
}
