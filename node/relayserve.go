package node

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/ready"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/spool"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// sweepPeriod is the interval at which idle connections and gone servers are
	// cleaned up.
	sweepPeriod = time.Second
	// settingsPeriod is the interval of checks for a changed settings file.
	settingsPeriod = 5 * time.Second
)

// serveReadiness serves readiness probes, metrics as text, and explanations.
func serveReadiness(lifecycle fx.Lifecycle, host *setup.Host, table *accept.Table, relay *relay.Relay, servers *pool.Pool, judge *ready.Judge, clock *clock.Service, registry metrics.Registry, log logrus.FieldLogger) {
	router := newReadinessRouter(func() bool {
		now := clock.Now()
		return relay.Policy() != nil && !relay.Draining() && len(servers.Servers(now)) > 0 && judge.Ready(now)
	}, registry)
	routeWhere(router, relay.Where)
	server := accept.NewServer(guardHandler(router, log), newErrorLog(log))
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := listenWithin(ctx, host.ReadyAddress, accept.ListenerConfig{Table: table})
			if err != nil {
				return err
			}
			serveHTTP(server, listener, log)
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

// newReadinessRouter returns the routes of readiness probes and metrics.
func newReadinessRouter(ready func() bool, registry metrics.Registry) *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc(platform.ReadinessPath, func(writer http.ResponseWriter, _ *http.Request) {
		if ready() {
			writer.WriteHeader(http.StatusOK)
		} else {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
		metrics.WriteOnce(registry, writer)
	}).Methods(http.MethodGet)
	return router
}

// serveRelay serves callers' requests. At shutdown it continues to serve until callers have
// left, see [accept.Stop].
func serveRelay(lifecycle fx.Lifecycle, host *setup.Host, table *accept.Table, relay *relay.Relay, clock *clock.Service, registry metrics.Registry, log logrus.FieldLogger) {
	server := accept.NewServer(guardHandler(relay, log), newErrorLog(log))
	ctx, cancel := context.WithCancel(context.Background())
	var listener *accept.Listener
	lifecycle.Append(fx.Hook{
		OnStart: func(startCtx context.Context) error {
			var err error
			config := accept.ListenerConfig{Table: table, Shared: true, ReportUnanswered: newUnansweredReport(registry, log)}
			if listener, err = listenWithin(startCtx, host.CallerAddress, config); err != nil {
				return err
			}
			serveHTTP(server, listener, log)
			clock.Subscribe(ctx, sweepPeriod, func(_ context.Context, now time.Time) {
				if snapshot := relay.Policy(); snapshot != nil {
					limits := snapshot.Limits()
					listener.SetLimits(accept.Limits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}.Lenient())
				}
				table.Sweep(now)
			})
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			stop := accept.Stop{Requests: relay, Listener: listener, Clock: clock}
			stop.Run(stopCtx, host.Bounds.StopGrace)
			return server.Close()
		},
	})
}

// newUnansweredReport returns a function that logs and counts connections that are closed
// under a request.
func newUnansweredReport(registry metrics.Registry, log logrus.FieldLogger) func(accept.Unanswered) {
	read, unread := metrics.GetOrRegisterCounter("callers.unanswered.read", registry), metrics.GetOrRegisterCounter("callers.unanswered.unread", registry)
	return func(lost accept.Unanswered) {
		if lost.Read > 0 {
			read.Inc(1)
		} else {
			unread.Inc(1)
		}
		event.RequestUnanswered.Log(log, logrus.Fields{"remote": lost.Remote.String(), "read": lost.Read, "unread": lost.Unread})
	}
}

// sweep periodically removes servers that are gone, closes connections to unused
// addresses, and logs the number of dropped log lines.
func sweep(lifecycle fx.Lifecycle, servers *pool.Pool, trunk *trunk.Trunk, output *spool.Writer, clock *clock.Service, registry metrics.Registry, log logrus.FieldLogger) {
	ctx, cancel := context.WithCancel(context.Background())
	observer := permit.Observer{Log: log, Metrics: registry}
	coldLog := newColdLog(registry, log)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			clock.Subscribe(ctx, sweepPeriod, func(_ context.Context, now time.Time) {
				for _, server := range servers.Sweep(now) {
					observer.Expired(server)
				}
				coldLog.update(servers.ColdServers(now))
				used := map[string]bool{}
				for _, server := range servers.Servers(now) {
					used[server.Address] = true
				}
				trunk.CloseIdle(func(address string) bool { return used[address] })
				if dropped := output.Dropped(); dropped > 0 {
					event.LogLinesDropped.Log(log, logrus.Fields{"lines": dropped})
				}
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// hangUps receives SIGHUP.
type hangUps <-chan os.Signal

// catchHangUps catches SIGHUP until the process ends, as it would end a process that is
// starting or stopping.
func catchHangUps() hangUps {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings reads and validates the settings file again at SIGHUP and when it
// has changed, and logs the result. The settings of the running process do not
// change until it restarts.
func watchSettings(lifecycle fx.Lifecycle, hangUps hangUps, path settingsPath, host *setup.Host, clock *clock.Service, log logrus.FieldLogger) {
	ctx, cancel := context.WithCancel(context.Background())
	var modified atomic.Int64
	reload := func(reason string) {
		fresh, err := platform.ReadSettings(string(path))
		if err != nil {
			event.SettingsKept.Log(log, logrus.Fields{"reason": reason, "cause": err.Error()})
			return
		}
		event.SettingsReloaded.Log(log, logrus.Fields{"reason": reason, "changed": !reflect.DeepEqual(fresh, host)})
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			modified.Store(modifiedAt(string(path)))
			go func() {
				for {
					select {
					case <-ctx.Done():
						return
					case <-hangUps:
						modified.Store(modifiedAt(string(path)))
						reload("signal")
					}
				}
			}()
			clock.Subscribe(ctx, settingsPeriod, func(context.Context, time.Time) {
				if at := modifiedAt(string(path)); at != modified.Swap(at) {
					reload("file changed")
				}
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// modifiedAt returns the file's modification time in Unix nanoseconds, or zero if
// it cannot be read.
func modifiedAt(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}
