package loader

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

const (
	recordPrefix   = "ledger/"
	defaultTick    = 100 * time.Millisecond
	defaultTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the calls that run at once.
	maxConcurrentCalls = 16
)

// Config configures a [Loader].
type Config struct {
	Ledger ledger.Config
	// Server is the backend server that the engine belongs to. It is part of the
	// record's key.
	Server  names.BackendServer
	Engine  engine.Engine
	Store   store.Store
	Clock   *clock.Service
	Logger  logrus.FieldLogger
	Metrics metrics.Registry
	// CacheBytes returns the size of the KV cache of a generation, for its prompt
	// and its longest output together.
	CacheBytes func(engine.Generation) int64
	// OnReport, if not nil, is called with each report and a time before it was
	// requested.
	OnReport func(requestedAt time.Time, report engine.Report)
	// Tick is the interval between ticks of the ledger; zero means the default.
	Tick time.Duration
	// Timeout bounds each call; zero means the default. For calls to the engine it
	// must be less than the ledger's order lifetime.
	Timeout time.Duration
}

// RecordKey returns the key in the store of the record of server's agent.
func RecordKey(server names.BackendServer) string { return recordPrefix + string(server) }
