package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/setup"
)

// newProcessBudget returns the budget of what clients make the process hold.
func newProcessBudget(process *setup.Process) *memory.Budget {
	bytes := process.MemoryBytes
	if bytes == 0 {
		bytes = machineBytes()
	}
	return memory.NewBudget(memory.LimitOf(bytes))
}

// machineBytes returns the memory of the machine, or zero if it is unknown.
func machineBytes() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(data), "MemTotal:")
	var kibibytes int64
	if _, err := fmt.Sscan(text, &kibibytes); err != nil {
		return 0
	}
	return kibibytes << 10
}

// newProcessTable returns the connections that others open to the process.
func newProcessTable(lifecycle fx.Lifecycle, budget *memory.Budget, clock *clock.Service, registry metrics.Registry, log logrus.FieldLogger) *accept.Table {
	table := accept.NewTable(accept.TableConfig{Memory: budget, Clock: clock, Metrics: registry, Log: log})
	background(lifecycle, func(ctx context.Context) {
		clock.Subscribe(ctx, sweepPeriod, func(_ context.Context, now time.Time) { table.Sweep(now) })
	})
	return table
}

// listenSecurely opens a listener whose connections are bounded by the table of config, also while
// their TLS handshake has not finished. Without a TLS configuration they are plain.
func listenSecurely(ctx context.Context, address string, config accept.ListenerConfig, security *tls.Config) (*accept.Listener, net.Listener, error) {
	config.Opaque, config.TLS = security != nil, security != nil
	listener, err := listenWithin(ctx, address, config)
	switch {
	case err != nil:
		return nil, nil, err
	case security != nil:
		return listener, tls.NewListener(listener, security), nil
	}
	return listener, listener, nil
}
