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

// WeightStoreConfig carries what a [WeightStore] is built from. A zero field means the
// value given beside it.
type WeightStoreConfig struct {
	// Clock times the loads; nil means the machine's clock.
	Clock clockwork.Clock
	// LoadsPerSecond bounds the starts of model loads; 2.
	LoadsPerSecond float64
	// ConcurrentLoads is how many model loads go at full speed; 3.
	ConcurrentLoads int
	// ModelLoadTime is what a model load takes at full speed; one second.
	ModelLoadTime time.Duration
	// ConcurrentAdapterLoads is how many adapter loads go at full speed; 25.
	ConcurrentAdapterLoads int
	// AdapterLoadTime is what an adapter load takes at full speed; 6 ms.
	AdapterLoadTime time.Duration
}

// WeightStore is a stand-in for the platform's weight store. All methods are safe
// for concurrent use.
type WeightStore struct {
	config WeightStoreConfig

	// mu guards what follows.
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

// Load returns once the weights are delivered. Over the rate it waits for its
// turn; over the number at full speed it takes longer in proportion.
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

// SetDown makes new loads over HTTP fail, or go well again.
func (weightStore *WeightStore) SetDown(down bool) {
	weightStore.mu.Lock()
	defer weightStore.mu.Unlock()
	weightStore.down = down
}

// Control returns the HTTP interface:
//
//	POST /loads   a [plat.WeightLoad]; answers 204 once delivered
//	POST /faults  {"down": bool}
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

// reserveStart takes the next start of a model load and returns the wait until then.
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

// deliver takes base, longer in proportion when more than atOnce are under way.
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
