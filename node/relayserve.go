package node

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/spool"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// headerTimeout and headerBytes bound a request's head; callers stay within the
	// operators' limits, which are lower.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	// idleFactor is how much longer than the operators' limit an idle connection is
	// kept, so that a request does not cross its close.
	idleFactor = 1.3
	// sweepPeriod is the time between looks for idle connections and gone servers.
	sweepPeriod = time.Second
	// settingsPeriod is the time between looks for a changed settings file.
	settingsPeriod = 5 * time.Second
	// leastDrain is how long a stopping entry takes connections: the balancer turns
	// away after two readiness probes a second apart. After that idle connections
	// are closed and requests are refused, since they might not be finished in time.
	leastDrain = 2300 * time.Millisecond
	// stopReserve is how long before SIGKILL a stopping entry ends.
	stopReserve = 500 * time.Millisecond
	// drainPoll is the time between looks for requests under way.
	drainPoll = 50 * time.Millisecond
)

// serveReadiness answers readiness probes, and metrics as text.
func serveReadiness(lifecycle fx.Lifecycle, host *setup.Host, relay *relay.Relay, servers *pool.Pool, clock *clock.Service, registry metrics.Registry, log logrus.FieldLogger) {
	router := mux.NewRouter()
	router.HandleFunc(platform.ReadinessPath, func(writer http.ResponseWriter, _ *http.Request) {
		if relay.Policy() == nil || relay.Draining() || len(servers.Servers(clock.Now())) == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(registry, writer)
	}).Methods(http.MethodGet)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ErrorLog: stdlog.New(httpErrors{log: log}, "", 0)}
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := listen(ctx, host.ReadyAddress, bounds{}, nil)
			if err != nil {
				return err
			}
			serveHTTP(server, listener, log)
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

// serveRelay takes callers' connections. At a stop it goes on serving until
// nothing is under way and the balancer has seen that it is not ready.
func serveRelay(lifecycle fx.Lifecycle, host *setup.Host, relay *relay.Relay, clock *clock.Service, log logrus.FieldLogger) {
	idle := newIdleConnections(clock)
	server := &http.Server{
		Handler:           relay,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnState:         idle.changed,
		ErrorLog:          stdlog.New(httpErrors{log: log}, "", 0),
	}
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(startCtx context.Context) error {
			listenConfig := net.ListenConfig{KeepAliveConfig: trunk.KeepAlive()}
			listener, err := listenConfig.Listen(startCtx, "tcp", host.CallerAddress)
			if err != nil {
				return err
			}
			serveHTTP(server, listener, log)
			clock.Subscribe(ctx, sweepPeriod, func(_ context.Context, now time.Time) {
				if snapshot := relay.Policy(); snapshot != nil && snapshot.Limits().IdleTimeout > 0 {
					idle.closeBefore(now.Add(-time.Duration(idleFactor * float64(snapshot.Limits().IdleTimeout))))
				}
			})
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			relay.Drain()
			drain(stopCtx, host, relay, idle, clock)
			return server.Close()
		},
	})
}

// drain waits until nothing is under way, or the grace has nearly passed.
func drain(ctx context.Context, host *setup.Host, relay *relay.Relay, idle *idleConnections, clock *clock.Service) {
	began := clock.Now()
	for {
		passed := clock.Now().Sub(began)
		if passed >= leastDrain {
			relay.RejectRequests()
			idle.closeBefore(clock.Now())
		}
		if passed >= host.Bounds.StopGrace-stopReserve || (passed >= leastDrain+drainPoll && relay.ActiveRequests() == 0) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-clock.After(drainPoll):
		}
	}
}

// idleConnections knows which of callers' connections carry no request.
type idleConnections struct {
	clock *clock.Service
	// mutex guards since.
	mutex sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections(clock *clock.Service) *idleConnections {
	return &idleConnections{clock: clock, since: map[net.Conn]time.Time{}}
}

func (idle *idleConnections) changed(conn net.Conn, state http.ConnState) {
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	switch state {
	case http.StateIdle:
		idle.since[conn] = idle.clock.Now()
	case http.StateNew, http.StateActive, http.StateClosed, http.StateHijacked:
		delete(idle.since, conn)
	}
}

func (idle *idleConnections) closeBefore(limit time.Time) {
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	for conn, since := range idle.since {
		if since.Before(limit) {
			conn.Close()
			delete(idle.since, conn)
		}
	}
}

// sweep forgets servers that are gone and tells of dropped log lines.
func sweep(lifecycle fx.Lifecycle, servers *pool.Pool, trunk *trunk.Trunk, output *spool.Writer, clock *clock.Service, log logrus.FieldLogger) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			clock.Subscribe(ctx, sweepPeriod, func(_ context.Context, now time.Time) {
				servers.Sweep(now)
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

// watchSettings reads the settings file again at SIGHUP and when it has changed.
// Addresses stay as they were until the process restarts.
func watchSettings(lifecycle fx.Lifecycle, path settingsPath, host *setup.Host, clock *clock.Service, log logrus.FieldLogger) {
	ctx, cancel := context.WithCancel(context.Background())
	hangUps := make(chan os.Signal, 1)
	var modified atomic.Int64
	reload := func(reason string) {
		fresh, err := platform.ReadSettings(string(path))
		if err != nil {
			event.SettingsKept.Log(log, logrus.Fields{"reason": reason, "cause": err.Error()})
			return
		}
		event.SettingsReloaded.Log(log, logrus.Fields{"reason": reason, "changed": *fresh != *host})
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			modified.Store(modifiedAt(string(path)))
			signal.Notify(hangUps, syscall.SIGHUP)
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
			signal.Stop(hangUps)
			cancel()
			return nil
		},
	})
}

// modifiedAt returns the time of the file's last change, zero where it cannot be
// read.
func modifiedAt(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}
