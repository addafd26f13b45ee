package config

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// RouteConfig carries the fields of a [Route].
type RouteConfig struct {
	// Service is the plain service that the route forwards to.
	Service names.Service
	// Method is the HTTP method; empty means any.
	Method string
	// PathPrefix is matched against the path below /svc/<service>, by whole path
	// segments. A prefix that ends with a slash does not match the path without
	// that slash.
	PathPrefix string
	// Open reports whether the route admits callers without a key.
	Open bool
	// Idempotent reports whether a call may be repeated.
	Idempotent bool
	// Kind is the request kind of calls on the route.
	Kind call.Kind
	// Tokens is the number of tokens that a call on the route is charged against
	// its account's rate.
	Tokens call.Tokens
}

// Route forwards calls to a plain service. It is immutable.
type Route struct {
	config RouteConfig
}

// NewRoute returns the route described by config.
func NewRoute(config RouteConfig) Route { return Route{config: config} }

// Service is the plain service that the route forwards to.
func (route Route) Service() names.Service { return route.config.Service }

// Method is the HTTP method; empty means any.
func (route Route) Method() string { return route.config.Method }

// PathPrefix is matched against the path below /svc/<service>, by whole path
// segments.
func (route Route) PathPrefix() string { return route.config.PathPrefix }

// Open reports whether the route admits callers without a key.
func (route Route) Open() bool { return route.config.Open }

// Idempotent reports whether a call may be repeated.
func (route Route) Idempotent() bool { return route.config.Idempotent }

// Kind is the request kind of calls on the route.
func (route Route) Kind() call.Kind { return route.config.Kind }

// Tokens is the number of tokens that a call on the route is charged against its
// account's rate.
func (route Route) Tokens() call.Tokens { return route.config.Tokens }
