package pool_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// TestModelLoadsAreThoseInFlight guards against requests that count after their end, or for
// services that do not ask for it.
func TestModelLoadsAreThoseInFlight(t *testing.T) {
	g := NewWithT(t)
	from := pool.New(pool.Config{})
	notes := &pool.Server{ID: "e1", Service: "notes", Incarnation: 4}
	other := &pool.Server{ID: "e2", Service: "other", Incarnation: 4}
	loads := func() []pool.ModelLoad {
		return from.OwnModelLoads(func(service names.Service) bool { return service == "notes" })
	}
	from.AddModelRequests(notes, "a", "", 1)
	from.AddModelRequests(notes, "a", "", 1)
	from.AddModelRequests(notes, "", "", 1)
	from.AddModelRequests(other, "a", "", 1)
	from.AddModelRequests(notes, "b", "b1", 1)
	g.Expect(loads()).To(ConsistOf(
		pool.ModelLoad{Server: "e1", Incarnation: 4, Model: "a", Running: 2},
		pool.ModelLoad{Server: "e1", Incarnation: 4, Model: "b", Adapter: "b1", Running: 1},
	))
	from.AddModelRequests(notes, "b", "b1", -1)
	from.AddModelRequests(notes, "a", "", -1)
	from.AddModelRequests(notes, "a", "", -1)
	g.Expect(loads()).To(BeEmpty())
}
