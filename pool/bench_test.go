package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
)

// BenchmarkPlacement measures one choice of a server, for a service without engines and for a
// model of which a tenth of the engines has a copy. Half of the servers are engines.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []int{26, 117, 700} {
		servers, now := newBenchmarkPool(size)
		queries := []struct {
			name  string
			query pool.Query
		}{
			{"plain", pool.Query{Service: "desk", Domain: "a"}},
			{"model", pool.Query{Service: "notes", Model: "m3", Domain: "a"}},
			{"adapter", pool.Query{Service: "notes", Model: "m3", Adapter: "x1", Domain: "a"}},
		}
		for _, each := range queries {
			b.Run(fmt.Sprintf("%s-%d", each.name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, chosen := servers.Pick(each.query, now).(pool.Chosen); !chosen {
						b.Fatal("no server was chosen")
					}
				}
			})
		}
	}
}

// newBenchmarkPool returns a pool of servers with some requests in flight, the coordinator's
// view of the engines, and a time.
func newBenchmarkPool(size int) (*pool.Pool, time.Time) {
	random := rand.New(rand.NewPCG(1, 2))
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: random.Float64})
	now := time.Unix(1000, 0)
	update := pool.Update{Complete: true, Others: map[names.BackendServer]int{}, Until: now.Add(time.Minute)}
	for index := range size {
		server := &pool.Server{
			ID: names.BackendServer(fmt.Sprintf("zone-%d-server-%03d", index%3, index)), Service: "desk", Incarnation: 1, Slots: 16,
			Address: fmt.Sprintf("10.0.%d.%d:8080", index/250, index%250), Domain: names.FailureDomain([]string{"a", "b", "c"}[index%3]),
		}
		if index%2 == 0 {
			server.Service = "notes"
			for copied := range 3 {
				server.Models = append(server.Models, names.Model(fmt.Sprintf("m%d", (index/2+copied*7)%30)))
			}
			server.Adapters = []pool.Adapter{{Model: "m3", Name: names.Adapter(fmt.Sprintf("x%d", index%4))}}
			update.Holdings = append(update.Holdings, pool.Holding{Server: server.ID, Incarnation: 1, Models: server.Models, Adapters: server.Adapters})
		}
		servers.Put(server)
		update.Others[server.ID] = index % 5
	}
	servers.ApplyUpdate(update)
	for index, server := range servers.Servers(now) {
		for range index % 3 {
			servers.StartRequest(server.ID, 100, now)
		}
	}
	return servers, now
}

// BenchmarkUnusable measures what a scheduled request tells the coordinator of its servers,
// with none and with a twelfth of them closed for now.
func BenchmarkUnusable(b *testing.B) {
	for _, closed := range []int{0, 60} {
		b.Run(fmt.Sprintf("700-%d", closed), func(b *testing.B) {
			servers, now := newBenchmarkPool(700)
			for _, server := range servers.Servers(now)[:closed] {
				servers.Gate().Observe(server.Identity(), permit.Limited{PerSecond: 1}, now, now)
				servers.Gate().Close(server.Identity(), time.Second, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				servers.Unusable(pool.Query{Service: "notes", Model: "m3", Domain: "a"}, now)
			}
		})
	}
}
