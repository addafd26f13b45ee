package coord

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

const (
	// coldRateLifetime is how long a server counts as cold after the coordinator last saw
	// that; it does so every enginesPeriod while requests are scheduled.
	coldRateLifetime = time.Second
	// permitDelay is how long after a placed request may be sent its entry has asked for the
	// permit.
	permitDelay = 200 * time.Millisecond
)

// coldRates tells the schedulers which cold servers have no permit left, so that no request
// is placed there and then gets no permit. The coordinator's mutex guards it.
type coldRates struct {
	issuer *permit.Issuer
	// part is the part of the rates that the coordinator may issue.
	part    float64
	servers map[names.Service][]coldServer
	// claims holds for each server until when permits are left for placed requests that
	// have not asked for theirs yet.
	claims map[permit.Server][]time.Time
}

// coldServer is a server that is cold.
type coldServer struct {
	identity  permit.Server
	perSecond float64
}

func newColdRates(issuer *permit.Issuer) *coldRates {
	return &coldRates{issuer: issuer, servers: map[names.Service][]coldServer{}, claims: map[permit.Server][]time.Time{}}
}

// reset forgets which servers are cold. Part is the part of the rates that the coordinator
// may issue.
func (coldRates *coldRates) reset(part float64) {
	coldRates.part = part
	clear(coldRates.servers)
}

// add adds the cold servers of a service.
func (coldRates *coldRates) add(service names.Service, servers []*pool.Server, coldRate func(*pool.Server, time.Time) (float64, bool), now time.Time) {
	if coldRate == nil {
		return
	}
	for _, server := range servers {
		if server.Service != service {
			continue
		}
		if perSecond, cold := coldRate(server, now); cold {
			coldRates.servers[service] = append(coldRates.servers[service], coldServer{identity: server.Identity(), perSecond: perSecond})
		}
	}
}

// closed returns the cold servers, other than excluded ones, that have no permit left beside
// those for requests that were placed there.
func (coldRates *coldRates) closed(service names.Service, excluded []names.BackendServer, now time.Time) []names.BackendServer {
	var closed []names.BackendServer
	for _, server := range coldRates.servers[service] {
		cold := permit.Cold{PerSecond: server.perSecond, Until: now.Add(coldRateLifetime)}
		claims := coldRates.pending(server.identity, now)
		if coldRates.issuer.Available(server.identity, cold, coldRates.part, now) <= claims && !slices.Contains(excluded, server.identity.ID) {
			closed = append(closed, server.identity.ID)
		}
	}
	return closed
}

// pending drops expired claims of a server and returns the number of the others.
func (coldRates *coldRates) pending(server permit.Server, now time.Time) int {
	claims := slices.DeleteFunc(coldRates.claims[server], func(until time.Time) bool { return !now.Before(until) })
	if len(claims) == 0 {
		delete(coldRates.claims, server)
		return 0
	}
	coldRates.claims[server] = claims
	return len(claims)
}

// recordPlaced records that a placed request will need a permit if its server is cold.
func (coldRates *coldRates) recordPlaced(placed sched.Placed, now time.Time) {
	identity := permit.Server{ID: placed.Server, Incarnation: placed.Incarnation}
	for _, servers := range coldRates.servers {
		if slices.ContainsFunc(servers, func(server coldServer) bool { return server.identity == identity }) {
			coldRates.claims[identity] = append(coldRates.claims[identity], now.Add(placed.Wait+permitDelay))
			return
		}
	}
}

// recordIssued records that a permit for a server was issued.
func (coldRates *coldRates) recordIssued(server permit.Server) {
	if claims := coldRates.claims[server]; len(claims) > 0 {
		coldRates.claims[server] = claims[1:]
	}
}
