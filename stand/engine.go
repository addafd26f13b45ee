package stand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// Paths that control and inspect a stand-in and are not part of the interface
// of a real backend server.
const (
	PathFaults = "/faults"
	PathTruth  = "/truth"
	PathCrash  = "/crash"
)

// Engine is a stand-in model engine: an [EngineMachine] behind HTTP.
type Engine struct {
	config EngineConfig
	clock  clockwork.Clock
	// wake holds a value after a change that an idle engine has to process.
	wake chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	machine *EngineMachine
	streams map[names.Request]*engineStream
	// thawed is closed while the engine is not frozen.
	thawed chan struct{}
}

// NewEngine returns a stand-in engine, which processes requests while
// [Engine.Run] runs.
func NewEngine(config EngineConfig) *Engine {
	config = config.withDefaults()
	thawed := make(chan struct{})
	close(thawed)
	return &Engine{
		config: config, clock: config.Clock, wake: make(chan struct{}, 1),
		machine: NewEngineMachine(config, config.Clock.Now()),
		streams: map[names.Request]*engineStream{}, thawed: thawed,
	}
}

// Run steps the engine until ctx ends.
func (standEngine *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if standEngine.step() {
			select {
			case <-ctx.Done():
			case <-standEngine.wake:
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-standEngine.clock.After(standEngine.stepTime()):
		}
	}
}

func (standEngine *Engine) stepTime() time.Duration {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	return standEngine.config.Step * time.Duration(max(standEngine.machine.Faults().SlowFactor, 1))
}

// step runs one step and reports whether the engine is idle afterwards.
func (standEngine *Engine) step() bool {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	crashes := standEngine.machine.Crashes()
	for _, output := range standEngine.machine.Step(standEngine.clock.Now()) {
		standEngine.deliver(output)
	}
	if standEngine.config.Exit != nil && standEngine.machine.Crashes() > crashes {
		standEngine.config.Exit()
	}
	return standEngine.machine.Idle()
}

// deliver appends output to its stream. The caller holds mu.
func (standEngine *Engine) deliver(output EngineOutput) {
	stream, found := standEngine.streams[output.Request]
	if !found {
		return
	}
	if output.Done || output.Err != nil {
		delete(standEngine.streams, output.Request)
	}
	stream.push(output)
}

func (standEngine *Engine) wakeUp() {
	select {
	case standEngine.wake <- struct{}{}:
	default:
	}
}

// SetFaults replaces the injected faults.
func (standEngine *Engine) SetFaults(faults EngineFaults) {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	frozen := standEngine.machine.Faults().Frozen
	switch {
	case faults.Frozen && !frozen:
		standEngine.thawed = make(chan struct{})
	case !faults.Frozen && frozen:
		close(standEngine.thawed)
	}
	standEngine.machine.SetFaults(faults)
	standEngine.wakeUp()
}

// Truth returns the engine's current state without report lag, for test
// assertions.
func (standEngine *Engine) Truth() EngineTruth {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	machine := standEngine.machine
	return EngineTruth{
		Boot: machine.Boot(), MemoryBytes: machine.MemoryBytes(), UsedBytes: machine.UsedBytes(),
		PeakBytes: machine.PeakBytes(), Violations: machine.Violations(), Crashes: machine.Crashes(),
	}
}

// Crash crashes the engine at once.
func (standEngine *Engine) Crash() {
	standEngine.mu.Lock()
	standEngine.machine.Crash(standEngine.clock.Now())
	standEngine.mu.Unlock()
	if standEngine.config.Exit != nil {
		standEngine.config.Exit()
	}
	standEngine.wakeUp()
}

// Handler returns the engine's HTTP interface.
func (standEngine *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathFaults, standEngine.serveFaults).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc(PathTruth, standEngine.serveTruth).Methods(http.MethodGet)
	router.HandleFunc(PathCrash, standEngine.serveCrash).Methods(http.MethodPost)
	own := router.NewRoute().Subrouter()
	own.Use(standEngine.waitWhileFrozen)
	own.HandleFunc(engine.PathCompletions, standEngine.serveCompletion).Methods(http.MethodPost)
	own.HandleFunc(engine.PathCancel, standEngine.serveCancel).Methods(http.MethodPost)
	own.HandleFunc(engine.PathReport, standEngine.serveReport).Methods(http.MethodGet)
	own.HandleFunc(engine.PathOrders, standEngine.serveOrder).Methods(http.MethodPost)
	return router
}

func (standEngine *Engine) waitWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		standEngine.mu.Lock()
		thawed := standEngine.thawed
		standEngine.mu.Unlock()
		select {
		case <-thawed:
			next.ServeHTTP(writer, request)
		case <-request.Context().Done():
		}
	})
}
