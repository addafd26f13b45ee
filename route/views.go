package route

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// view returns the state of a target, with the members of the current plan.
func (router *Router) view(now time.Time, target Target) *view {
	version := router.config.Plan.Version()
	found, ok := router.views[target]
	if ok && found.version == version {
		found.lastUsed = now
		return found
	}
	if !ok {
		found = &view{target: target}
		router.views[target] = found
	}
	found.lastUsed = now
	// Rebuild before evicting, so that the state of a server that the evicted
	// target shares with this one is kept.
	router.rebuild(found, version)
	router.evictLeastRecent(found)
	return found
}

// rebuild replaces the members of a view with the plan's replicas.
func (router *Router) rebuild(view *view, version int64) {
	replicas := router.config.Plan.Replicas(view.target)
	members := make([]member, 0, len(replicas))
	for _, replica := range replicas {
		server := router.server(replica.Server)
		server.references++
		members = append(members, member{
			replica:  replica,
			server:   server,
			distance: router.distance(replica.Domain),
		})
	}
	router.release(view)
	view.members, view.version = members, version
}

// server returns the state of a server, which it creates if there is none.
func (router *Router) server(name names.BackendServer) *server {
	found, ok := router.servers[name]
	if !ok {
		found = &server{name: name, hash: hashString(string(name))}
		router.servers[name] = found
	}
	return found
}

// release drops a view's references to its servers and deletes the state of
// servers that no other view refers to.
func (router *Router) release(view *view) {
	for i := range view.members {
		server := view.members[i].server
		server.references--
		if server.references == 0 {
			delete(router.servers, server.name)
		}
	}
	view.members = nil
}

func (router *Router) evict(target Target) {
	router.release(router.views[target])
	delete(router.views, target)
}

// evictLeastRecent evicts the least recently used target other than newest if
// there are too many.
func (router *Router) evictLeastRecent(newest *view) {
	if len(router.views) <= router.config.MaxTargets {
		return
	}
	var oldest *view
	for _, view := range router.views {
		if view != newest && (oldest == nil || view.lastUsed.Before(oldest.lastUsed)) {
			oldest = view
		}
	}
	router.evict(oldest.target)
}

// distance returns the network distance to a failure domain; zero for that of
// this instance.
func (router *Router) distance(domain names.FailureDomain) time.Duration {
	if domain == router.config.Domain || router.config.Policy.NoDistance {
		return 0
	}
	if distance, ok := router.config.Distance[domain]; ok {
		return distance
	}
	return router.config.FarDistance
}
