package config_test

import (
	"testing"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

func TestRouteMatchesWholeSegments(t *testing.T) {
	snapshot := config.NewSnapshot(config.SnapshotConfig{Routes: []config.Route{
		config.NewRoute(config.RouteConfig{Service: "desk", Method: "GET", PathPrefix: "/tides", Open: true}),
		config.NewRoute(config.RouteConfig{Service: "desk", Method: "GET", PathPrefix: "/stock/"}),
		config.NewRoute(config.RouteConfig{Service: "desk", PathPrefix: "/orders"}),
	}})
	tables := []struct {
		service      names.Service
		method, path string
		prefix       string
	}{
		{"desk", "GET", "/tides", "/tides"},
		{"desk", "GET", "/tides/4", "/tides"},
		{"desk", "GET", "/tides-secret", ""},
		{"desk", "POST", "/tides", ""},
		{"desk", "GET", "/stock/rack", "/stock/"},
		{"desk", "GET", "/stock", ""},
		{"desk", "DELETE", "/orders/7", "/orders"},
		{"other", "GET", "/tides", ""},
	}
	for _, table := range tables {
		route, found := snapshot.Route(table.service, table.method, table.path)
		if found != (table.prefix != "") || route.PathPrefix() != table.prefix {
			t.Errorf("%s %s%s matched prefix %q, want %q", table.method, table.service, table.path, route.PathPrefix(), table.prefix)
		}
	}
}
