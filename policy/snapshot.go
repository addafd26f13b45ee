package policy

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"

	"github.com/basilkeel/basilkeel/names"
)

// SnapshotConfig is the content of a [Snapshot].
type SnapshotConfig struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	Limits   Limits
}

// Snapshot is one version of the operators' configuration. It is immutable.
type Snapshot struct {
	config SnapshotConfig
	// routes maps each host to its routes, the longest prefix first.
	routes   map[string][]*Route
	services map[names.Service]*Service
	// keys maps the hash of each key to the account that it belongs to.
	keys       map[[sha256.Size]byte]*Account
	scheduling map[names.Service]*Scheduling
}

// NewSnapshot returns a snapshot of config.
func NewSnapshot(config SnapshotConfig) *Snapshot {
	snapshot := &Snapshot{
		config:   config,
		routes:   map[string][]*Route{},
		services: map[names.Service]*Service{},
		keys:     map[[sha256.Size]byte]*Account{},
	}
	for _, route := range config.Routes {
		host := strings.ToLower(route.Host)
		snapshot.routes[host] = append(snapshot.routes[host], route)
	}
	for _, routes := range snapshot.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, service := range config.Services {
		snapshot.services[service.Name] = service
	}
	for _, account := range config.Accounts {
		for _, key := range account.Keys {
			snapshot.keys[sha256.Sum256([]byte(key))] = account
		}
	}
	snapshot.scheduling = schedulings(&config)
	return snapshot
}

// Version returns the version, which increases with each change.
func (snapshot *Snapshot) Version() int64 { return snapshot.config.Version }

// Limits returns the limits on what callers may send.
func (snapshot *Snapshot) Limits() Limits { return snapshot.config.Limits }

// Route returns the route of host with the longest prefix of path, or nil. If no route
// names host with its port, Route ignores the port.
func (snapshot *Snapshot) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, found := snapshot.routes[host]
	if !found {
		hostname, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		routes = snapshot.routes[hostname]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RouteTo returns the first route of the policy that sends requests to a service, or nil.
func (snapshot *Snapshot) RouteTo(service names.Service) *Route {
	for _, route := range snapshot.config.Routes {
		if route.Sends(service) {
			return route
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (snapshot *Snapshot) Service(name names.Service) *Service { return snapshot.services[name] }

// Services returns every service.
func (snapshot *Snapshot) Services() []*Service { return snapshot.config.Services }

// Accounts returns every client account.
func (snapshot *Snapshot) Accounts() []*Account { return snapshot.config.Accounts }

// NeedsKeys reports whether requests to routes that are not open need a key.
func (snapshot *Snapshot) NeedsKeys() bool { return len(snapshot.config.Accounts) > 0 }

// Account returns the account that key belongs to, or nil. The lookup compares hashes,
// so that its duration does not reveal how much of a key is correct.
func (snapshot *Snapshot) Account(key string) *Account {
	return snapshot.keys[sha256.Sum256([]byte(key))]
}
