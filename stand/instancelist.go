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

// InstanceListConfig configures an [InstanceList].
type InstanceListConfig struct {
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

// InstanceList is a stand-in for the platform's list of live and leaving
// instances. All methods are safe for concurrent use.
type InstanceList struct {
	clock clockwork.Clock

	// mu guards the fields below.
	mu   sync.Mutex
	lag  time.Duration
	down bool
	// versions holds the visible version, followed by later ones that are not
	// visible yet.
	versions []instanceListVersion
}

// NewInstanceList returns a list.
func NewInstanceList(config InstanceListConfig) *InstanceList {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	first := plat.InstanceList{Revision: 1, Instances: slices.Clone(config.Instances)}
	return &InstanceList{
		clock:    config.Clock,
		lag:      config.Lag,
		versions: []instanceListVersion{{visibleFrom: config.Clock.Now(), list: first}},
	}
}

// Set replaces the list. The change becomes visible after the lag.
func (instanceList *InstanceList) Set(instances []plat.Instance) {
	instanceList.update(func([]plat.Instance) []plat.Instance { return slices.Clone(instances) })
}

// Put adds instance, or replaces the one with the same name.
func (instanceList *InstanceList) Put(instance plat.Instance) {
	instanceList.update(func(instances []plat.Instance) []plat.Instance {
		return append(withoutInstance(instances, instance.Name), instance)
	})
}

// Remove removes the instance with the given name.
func (instanceList *InstanceList) Remove(name string) {
	instanceList.update(func(instances []plat.Instance) []plat.Instance { return withoutInstance(instances, name) })
}

// SetLag sets the lag of subsequent changes.
func (instanceList *InstanceList) SetLag(lag time.Duration) {
	instanceList.mu.Lock()
	defer instanceList.mu.Unlock()
	instanceList.lag = lag
}

// SetDown makes reads of the list over HTTP fail, or succeed again.
func (instanceList *InstanceList) SetDown(down bool) {
	instanceList.mu.Lock()
	defer instanceList.mu.Unlock()
	instanceList.down = down
}

// Current returns the visible version of the list.
func (instanceList *InstanceList) Current() plat.InstanceList {
	instanceList.mu.Lock()
	defer instanceList.mu.Unlock()
	now := instanceList.clock.Now()
	for len(instanceList.versions) > 1 && !now.Before(instanceList.versions[1].visibleFrom) {
		instanceList.versions = instanceList.versions[1:]
	}
	return instanceList.versions[0].list
}

// Control returns the HTTP interface:
//
//	GET    /instances         returns the visible version of the list
//	PUT    /instances         replaces the list
//	POST   /instances         adds or replaces one instance
//	DELETE /instances/{name}  removes one instance
//	POST   /faults            sets {"lagMillis": n, "down": bool}
func (instanceList *InstanceList) Control() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/instances", instanceList.serveGet).Methods(http.MethodGet)
	router.HandleFunc("/instances", instanceList.servePut).Methods(http.MethodPut)
	router.HandleFunc("/instances", instanceList.servePost).Methods(http.MethodPost)
	router.HandleFunc("/instances/{name}", instanceList.serveDelete).Methods(http.MethodDelete)
	router.HandleFunc("/faults", instanceList.serveFaults).Methods(http.MethodPost)
	return router
}

func (instanceList *InstanceList) serveGet(writer http.ResponseWriter, _ *http.Request) {
	instanceList.mu.Lock()
	down := instanceList.down
	instanceList.mu.Unlock()
	if down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, instanceList.Current())
}

func (instanceList *InstanceList) servePut(writer http.ResponseWriter, request *http.Request) {
	var instances []plat.Instance
	if readJSON(writer, request, &instances) {
		instanceList.Set(instances)
		writer.WriteHeader(http.StatusNoContent)
	}
}

func (instanceList *InstanceList) servePost(writer http.ResponseWriter, request *http.Request) {
	var instance plat.Instance
	if readJSON(writer, request, &instance) {
		instanceList.Put(instance)
		writer.WriteHeader(http.StatusNoContent)
	}
}

func (instanceList *InstanceList) serveDelete(writer http.ResponseWriter, request *http.Request) {
	instanceList.Remove(mux.Vars(request)["name"])
	writer.WriteHeader(http.StatusNoContent)
}

// instanceListFaultsWire is the JSON form of a list's faults.
type instanceListFaultsWire struct {
	LagMillis int64 `json:"lagMillis"`
	Down      bool  `json:"down"`
}

func (instanceList *InstanceList) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var wire instanceListFaultsWire
	if readJSON(writer, request, &wire) {
		instanceList.SetLag(time.Duration(wire.LagMillis) * time.Millisecond)
		instanceList.SetDown(wire.Down)
		writer.WriteHeader(http.StatusNoContent)
	}
}

// update appends the version that apply derives from the latest one.
func (instanceList *InstanceList) update(apply func([]plat.Instance) []plat.Instance) {
	instanceList.mu.Lock()
	defer instanceList.mu.Unlock()
	latest := instanceList.versions[len(instanceList.versions)-1]
	visibleFrom := instanceList.clock.Now().Add(instanceList.lag)
	if visibleFrom.Before(latest.visibleFrom) {
		visibleFrom = latest.visibleFrom
	}
	next := plat.InstanceList{Revision: latest.list.Revision + 1, Instances: apply(latest.list.Instances)}
	instanceList.versions = append(instanceList.versions, instanceListVersion{visibleFrom: visibleFrom, list: next})
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
