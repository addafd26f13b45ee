package soak_test

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	homeService = "home-desk"
	// homeRegion is the home of the route to the home service, and confinedRegion that of
	// the confined account. No region is in both.
	homeRegion     = "north"
	confinedRegion = "south"
	confinedTenant = "tahi"
	confinedKey    = "q2mv8x0c4z7rj1dk5wfs"
	// evacuateTime is the time after which no request may reach an evacuated zone.
	evacuateTime = 5 * time.Second
	// contactTime is how long an entry has to reach the store until it is connected.
	contactTime = 4 * time.Second
)

var (
	tenantKeys = map[string]string{tenantName: tenantKey, confinedTenant: confinedKey}
	// zoneNames are the failure domains of servers. The settings do not map the last one,
	// which has one server of the home service.
	zoneNames = []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	// zoneRegions maps failure domains to regions.
	zoneRegions = map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "south"}
)

// formatZones returns the map of zones for the settings.
func formatZones() string {
	parts := []string{}
	for zone, region := range zoneRegions {
		parts = append(parts, zone+": "+region)
	}
	return strings.Join(parts, ", ")
}

// inHome reports whether a request may reach servers of a failure domain.
func inHome(asked *asked, zone string) bool {
	return (asked.kind != kindHome || zoneRegions[zone] == homeRegion) && (asked.tenant != confinedTenant || zoneRegions[zone] == confinedRegion)
}

// zones are the evacuations that operators have requested.
type zones struct {
	// mutex guards evacuated.
	mutex sync.Mutex
	// evacuated maps failure domains to when the write of their key was acknowledged.
	evacuated map[string]time.Time
}

// evacuate requests the evacuation of a failure domain for a while, unless one is under way.
func (soak *soak) evacuate(random *random) {
	zone := zoneNames[random.IntN(len(zoneNames))]
	zones := &soak.zones
	soak.outages.Lock()
	zones.mutex.Lock()
	idle := len(zones.evacuated) == 0
	if idle {
		soak.store.put("op/evacuate/"+zone, map[string]any{"by": "operator"})
		zones.evacuated = map[string]time.Time{zone: time.Now()}
	}
	zones.mutex.Unlock()
	soak.outages.Unlock()
	if !idle {
		return
	}
	soak.pause(evacuateTime + time.Duration(random.IntN(5000))*time.Millisecond)
	soak.outages.Lock()
	defer soak.outages.Unlock()
	zones.mutex.Lock()
	zones.evacuated = nil
	zones.mutex.Unlock()
	// Servers of an evacuated zone are usually cold when the evacuation ends.
	for _, server := range soak.coldServers() {
		if server.zone == zone && random.IntN(2) == 0 {
			server.becomeCold(coldStart)
		}
	}
	soak.store.put("op/evacuate/"+zone, nil)
}

// checkEvacuated checks that a request may reach the server's failure domain. Orders and
// queries of an engine's state count as well.
func (backend *backend) checkEvacuated(request *http.Request, now time.Time) {
	zones := &backend.soak.zones
	zones.mutex.Lock()
	acknowledged, evacuated := zones.evacuated[backend.zone]
	zones.mutex.Unlock()
	if !evacuated {
		return
	}
	if now.Sub(acknowledged) > time.Second {
		backend.soak.ledger.count("requests in evacuated zones after a second")
	}
	failed := backend.soak.store.failedAt()
	if now.Sub(acknowledged) > evacuateTime && now.Sub(failed) > contactTime {
		backend.soak.ledger.fault("EVACUATED", "%s %s reached %s in %s %v after the evacuation was requested, %v after the store failed",
			request.Method, request.RequestURI, backend.usual, backend.zone, now.Sub(acknowledged), now.Sub(failed))
	}
}
