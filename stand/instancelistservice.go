package stand

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"github.com/basilkeel/basilkeel/plat"
)

// InstanceListServiceConfig configures an [InstanceListService].
type InstanceListServiceConfig struct {
	// Clock times the lag; nil means the system clock.
	Clock clockwork.Clock
	// Lag is the time until a change becomes visible.
	Lag time.Duration
	// Instances is the initial content of the list.
	Instances []plat.Instance
}

// instanceListVersion is the content of the list from visibleFrom on.
type instanceListVersion struct {
	visibleFrom time.Time
	list        plat.InstanceList
}

// InstanceListService is a stand-in for the platform's list of live and leaving
// instances. All methods are safe for concurrent use.
type InstanceListService struct {
	clock clockwork.Clock

	// mu guards the fields below.
	mu   sync.Mutex
	lag  time.Duration
	down bool
	// versions holds the visible version, followed by later ones that are not
	// visible yet.
	versions []instanceListVersion
}

// NewInstanceListService returns a list that holds the configured instances.
func NewInstanceListService(config InstanceListServiceConfig) *InstanceListService {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	first := plat.InstanceList{Revision: 1, Instances: append([]plat.Instance{}, config.Instances...)}
	return &InstanceListService{
		clock:    config.Clock,
		lag:      config.Lag,
		versions: []instanceListVersion{{visibleFrom: config.Clock.Now(), list: first}},
	}
}

// Set replaces the list. The change becomes visible after the lag.
func (instanceListService *InstanceListService) Set(instances []plat.Instance) {
	instanceListService.update(func([]plat.Instance) []plat.Instance { return slices.Clone(instances) })
}

// Put adds instance, or replaces the one with the same name.
func (instanceListService *InstanceListService) Put(instance plat.Instance) {
	instanceListService.update(func(instances []plat.Instance) []plat.Instance {
		return append(withoutInstance(instances, instance.Name), instance)
	})
}

// Remove removes the instance with the given name.
func (instanceListService *InstanceListService) Remove(name string) {
	instanceListService.update(func(instances []plat.Instance) []plat.Instance { return withoutInstance(instances, name) })
}

// SetLag sets the lag of subsequent changes.
func (instanceListService *InstanceListService) SetLag(lag time.Duration) {
	instanceListService.mu.Lock()
	defer instanceListService.mu.Unlock()
	instanceListService.lag = lag
}

// SetDown makes reads of the list over HTTP fail, or succeed again.
func (instanceListService *InstanceListService) SetDown(down bool) {
	instanceListService.mu.Lock()
	defer instanceListService.mu.Unlock()
	instanceListService.down = down
}

// Current returns the visible version of the list.
func (instanceListService *InstanceListService) Current() plat.InstanceList {
	instanceListService.mu.Lock()
	defer instanceListService.mu.Unlock()
	now := instanceListService.clock.Now()
	for len(instanceListService.versions) > 1 && !now.Before(instanceListService.versions[1].visibleFrom) {
		instanceListService.versions = instanceListService.versions[1:]
	}
	return instanceListService.versions[0].list
}

// Control returns the HTTP interface:
//
//	GET    /instances         returns the visible version of the list
//	PUT    /instances         replaces the list
//	POST   /instances         adds or replaces one instance
//	DELETE /instances/{name}  removes one instance
//	POST   /faults            sets {"lagMillis": n, "down": bool}
func (instanceListService *InstanceListService) Control() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/instances", instanceListService.serveGet).Methods(http.MethodGet)
	router.HandleFunc("/instances", instanceListService.servePut).Methods(http.MethodPut)
	router.HandleFunc("/instances", instanceListService.servePost).Methods(http.MethodPost)
	router.HandleFunc("/instances/{name}", instanceListService.serveDelete).Methods(http.MethodDelete)
	router.HandleFunc("/faults", instanceListService.serveFaults).Methods(http.MethodPost)
	return router
}

func (instanceListService *InstanceListService) serveGet(writer http.ResponseWriter, _ *http.Request) {
	instanceListService.mu.Lock()
	down := instanceListService.down
	instanceListService.mu.Unlock()
	if down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, instanceListService.Current())
}

func (instanceListService *InstanceListService) servePut(writer http.ResponseWriter, request *http.Request) {
	var instances []plat.Instance
	if readJSON(writer, request, &instances) {
		instanceListService.Set(instances)
		writer.WriteHeader(http.StatusNoContent)
	}
}

func (instanceListService *InstanceListService) servePost(writer http.ResponseWriter, request *http.Request) {
	var instance plat.Instance
	if readJSON(writer, request, &instance) {
		instanceListService.Put(instance)
		writer.WriteHeader(http.StatusNoContent)
	}
}

func (instanceListService *InstanceListService) serveDelete(writer http.ResponseWriter, request *http.Request) {
	instanceListService.Remove(mux.Vars(request)["name"])
	writer.WriteHeader(http.StatusNoContent)
}

// instanceListServiceFaultsWire is the JSON form of a list's faults.
type instanceListServiceFaultsWire struct {
	LagMillis int64 `json:"lagMillis"`
	Down      bool  `json:"down"`
}

func (instanceListService *InstanceListService) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var wire instanceListServiceFaultsWire
	if readJSON(writer, request, &wire) {
		instanceListService.SetLag(time.Duration(wire.LagMillis) * time.Millisecond)
		instanceListService.SetDown(wire.Down)
		writer.WriteHeader(http.StatusNoContent)
	}
}

// update appends the version that apply derives from the latest one.
func (instanceListService *InstanceListService) update(apply func([]plat.Instance) []plat.Instance) {
	instanceListService.mu.Lock()
	defer instanceListService.mu.Unlock()
	latest := instanceListService.versions[len(instanceListService.versions)-1]
	visibleFrom := instanceListService.clock.Now().Add(instanceListService.lag)
	if visibleFrom.Before(latest.visibleFrom) {
		visibleFrom = latest.visibleFrom
	}
	next := plat.InstanceList{Revision: latest.list.Revision + 1, Instances: apply(latest.list.Instances)}
	instanceListService.versions = append(instanceListService.versions, instanceListVersion{visibleFrom: visibleFrom, list: next})
}

// withoutInstance returns a copy of instances without the one called name.
func withoutInstance(instances []plat.Instance, name string) []plat.Instance {
	kept := make([]plat.Instance, 0, len(instances)+1)
	for _, instance := range instances {
		if instance.Name != name {
			kept = append(kept, instance)
		}
	}
	return kept
}
