package stand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"github.com/basilkeel/basilkeel/plat"
)

// WeightStoreConfig configures a [WeightStore]. Zero fields take their default.
type WeightStoreConfig struct {
	// Clock times the loads; nil means the system clock.
	Clock clockwork.Clock
	// LoadsPerSecond limits the rate at which model loads start. The default is 2.
	LoadsPerSecond float64
	// ConcurrentLoads is the number of concurrent model loads at full speed. The
	// default is 3.
	ConcurrentLoads int
	// ModelLoadTime is the duration of a model load at full speed. The default is
	// one second.
	ModelLoadTime time.Duration
	// ConcurrentAdapterLoads is the number of concurrent adapter loads at full
	// speed. The default is 25.
	ConcurrentAdapterLoads int
	// AdapterLoadTime is the duration of an adapter load at full speed. The
	// default is 6 ms.
	AdapterLoadTime time.Duration
}

// WeightStore is a stand-in for the platform's weight store. All methods are safe
// for concurrent use.
type WeightStore struct {
	config WeightStoreConfig

	// mu guards the fields below.
	mu sync.Mutex
	// nextStart is the earliest start of the next model load.
	nextStart      time.Time
	modelLoads     int
	adapterLoads   int
	deliveredLoads int64
	down           bool
}

// NewWeightStore returns a weight store.
func NewWeightStore(config WeightStoreConfig) *WeightStore {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.LoadsPerSecond <= 0 {
		config.LoadsPerSecond = 2
	}
	if config.ConcurrentLoads <= 0 {
		config.ConcurrentLoads = 3
	}
	if config.ModelLoadTime <= 0 {
		config.ModelLoadTime = time.Second
	}
	if config.ConcurrentAdapterLoads <= 0 {
		config.ConcurrentAdapterLoads = 25
	}
	if config.AdapterLoadTime <= 0 {
		config.AdapterLoadTime = 6 * time.Millisecond
	}
	return &WeightStore{config: config}
}

// Load returns when the weights are delivered. A model load waits until the rate
// limit allows its start. If more loads run than the number at full speed, a
// load takes proportionally longer.
func (weightStore *WeightStore) Load(ctx context.Context, load plat.WeightLoad) error {
	if load.Adapter != "" {
		return weightStore.deliver(ctx, &weightStore.adapterLoads, weightStore.config.AdapterLoadTime, weightStore.config.ConcurrentAdapterLoads)
	}
	if err := weightStore.wait(ctx, weightStore.reserveStart()); err != nil {
		return err
	}
	return weightStore.deliver(ctx, &weightStore.modelLoads, weightStore.config.ModelLoadTime, weightStore.config.ConcurrentLoads)
}

// Loads returns the number of loads delivered so far.
func (weightStore *WeightStore) Loads() int64 {
	weightStore.mu.Lock()
	defer weightStore.mu.Unlock()
	return weightStore.deliveredLoads
}

// SetDown makes new loads over HTTP fail, or succeed again.
func (weightStore *WeightStore) SetDown(down bool) {
	weightStore.mu.Lock()
	defer weightStore.mu.Unlock()
	weightStore.down = down
}

// Control returns the HTTP interface:
//
//	POST /loads   runs a [plat.WeightLoad]; returns 204 when it is delivered
//	POST /faults  sets {"down": bool}
func (weightStore *WeightStore) Control() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/loads", weightStore.serveLoad).Methods(http.MethodPost)
	router.HandleFunc("/faults", weightStore.serveFaults).Methods(http.MethodPost)
	return router
}

func (weightStore *WeightStore) serveLoad(writer http.ResponseWriter, request *http.Request) {
	var load plat.WeightLoad
	if !readJSON(writer, request, &load) {
		return
	}
	weightStore.mu.Lock()
	down := weightStore.down
	weightStore.mu.Unlock()
	if down || weightStore.Load(request.Context(), load) != nil {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// weightStoreFaultsWire is the JSON form of a weight store's faults.
type weightStoreFaultsWire struct {
	Down bool `json:"down"`
}

func (weightStore *WeightStore) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var wire weightStoreFaultsWire
	if readJSON(writer, request, &wire) {
		weightStore.SetDown(wire.Down)
		writer.WriteHeader(http.StatusNoContent)
	}
}

// reserveStart reserves the next start of a model load and returns the time
// until then.
func (weightStore *WeightStore) reserveStart() time.Duration {
	weightStore.mu.Lock()
	defer weightStore.mu.Unlock()
	now := weightStore.config.Clock.Now()
	if weightStore.nextStart.Before(now) {
		weightStore.nextStart = now
	}
	wait := weightStore.nextStart.Sub(now)
	weightStore.nextStart = weightStore.nextStart.Add(time.Duration(float64(time.Second) / weightStore.config.LoadsPerSecond))
	return wait
}

// deliver waits for the duration of one load: base or, if more than atOnce loads
// are active, proportionally longer.
func (weightStore *WeightStore) deliver(ctx context.Context, active *int, base time.Duration, atOnce int) error {
	weightStore.mu.Lock()
	*active++
	duration := base * time.Duration(max(*active, atOnce)) / time.Duration(atOnce)
	weightStore.mu.Unlock()
	err := weightStore.wait(ctx, duration)
	weightStore.mu.Lock()
	defer weightStore.mu.Unlock()
	*active--
	if err == nil {
		weightStore.deliveredLoads++
	}
	return err
}

func (weightStore *WeightStore) wait(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-weightStore.config.Clock.After(wait):
		return nil
	}
}
