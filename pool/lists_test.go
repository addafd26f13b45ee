package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
)

// TestListsOfServicesEnd guards against a list that is kept for each service that ever had a
// server, and against sums of requests that drift when servers change or go.
func TestListsOfServicesEnd(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	servers := New(Config{RegistryPeriod: time.Second})
	for incarnation, service := range []names.Service{"a", "b", "b", "c"} {
		servers.Put(&Server{ID: "s", Service: service, Incarnation: int64(incarnation / 2)})
		servers.StartRequest("s", 0, now)
		servers.ApplyUpdate(Update{Others: map[names.BackendServer]int{"s": 3}, Until: now.Add(time.Minute)})
		g.Expect(servers.byService).To(And(HaveLen(1), HaveKeyWithValue(service, HaveLen(1))))
		g.Expect([]int{servers.ownRequests, servers.otherRequests}).To(Equal([]int{incarnation + 1, 3}))
	}
	for range 4 {
		servers.EndRequest("s")
	}
	servers.Remove("s", now)
	servers.Sweep(now.Add(time.Hour))
	g.Expect(servers.members).To(BeEmpty())
	g.Expect(servers.byService).To(BeEmpty())
	g.Expect([]int{servers.ownRequests, servers.otherRequests}).To(Equal([]int{0, 0}))
}
