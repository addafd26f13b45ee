package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/store"
)

// registryEntry returns the entry of a server in a state.
func registryEntry(t *testing.T, id, state string, era store.Era, number int64) store.Entry {
	t.Helper()
	return incarnationEntry(t, id, state, 1700000000000, era, number)
}

// incarnationEntry is registryEntry for an incarnation.
func incarnationEntry(t *testing.T, id, state string, incarnation int64, era store.Era, number int64) store.Entry {
	t.Helper()
	value := fmt.Sprintf(`{"service":"notes","address":"10.0.0.%s:80","zone":"a","slots":8,"state":%q,"born":%d,"seq":1}`, id, state, incarnation)
	return storedEntry(t, platform.RegistryPrefix+id, value, era, number)
}

// The copy lists a server as it was before it started again.
func TestRestoredRegistryKeepsLaterIncarnations(t *testing.T) {
	g := NewWithT(t)
	log, _ := test.NewNullLogger()
	clock := clock.NewService(clock.ServiceConfig{})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
	handler := newRegistryHandler(servers, clock, log)
	handler.Replaced([]store.Entry{incarnationEntry(t, "1", "draining", 1700000000000, 0, 2)})
	handler.Changed([]store.Entry{incarnationEntry(t, "1", "ready", 1700000009000, 0, 5)})
	handler.Replaced([]store.Entry{incarnationEntry(t, "1", "draining", 1700000000000, 1, 2)})
	g.Expect(servers.Servers(time.Now())[0].Incarnation).To(Equal(int64(1700000009000)))
	g.Expect(servers.Servers(time.Now())[0].Draining).To(BeFalse())
	handler.Changed([]store.Entry{incarnationEntry(t, "1", "ready", 1700000012000, 1, 3)})
	g.Expect(servers.Servers(time.Now())[0].Incarnation).To(Equal(int64(1700000012000)))
}

// The copy lists servers as they were some seconds ago.
func TestRestoredRegistryBringsNoServerBack(t *testing.T) {
	g := NewWithT(t)
	log, _ := test.NewNullLogger()
	clock := clock.NewService(clock.ServiceConfig{})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
	handler := newRegistryHandler(servers, clock, log)
	accepting := func() []string {
		var ids []string
		for _, server := range servers.Servers(time.Now()) {
			if !server.Draining && servers.Usable(server, time.Now()) {
				ids = append(ids, string(server.ID))
			}
		}
		return ids
	}
	handler.Replaced([]store.Entry{registryEntry(t, "1", "ready", 0, 2), registryEntry(t, "2", "ready", 0, 3), registryEntry(t, "3", "ready", 0, 4)})
	handler.Changed([]store.Entry{registryEntry(t, "2", "draining", 0, 5)})
	handler.Changed([]store.Entry{store.NewEntry(store.EntryConfig{Key: platform.RegistryPrefix + "3", Revision: 7, Deleted: true})})
	handler.Changed([]store.Entry{registryEntry(t, "4", "ready", 0, 8)})
	g.Expect(accepting()).To(Equal([]string{"1", "4"}))
	copied := []store.Entry{registryEntry(t, "1", "ready", 1, 2), registryEntry(t, "2", "ready", 1, 3), registryEntry(t, "3", "ready", 1, 4)}
	handler.Replaced(copied)
	g.Expect(accepting()).To(Equal([]string{"1", "4"}), "2 was draining, 3 has left, 4 is not written again yet")
	handler.Replaced(copied)
	g.Expect(accepting()).To(Equal([]string{"1", "4"}), "the same copy")
	handler.Changed([]store.Entry{registryEntry(t, "3", "ready", 1, 5), registryEntry(t, "4", "ready", 1, 6)})
	g.Expect(accepting()).To(Equal([]string{"1", "3", "4"}), "3 is alive after all")
	handler.Changed([]store.Entry{store.NewEntry(store.EntryConfig{Key: platform.RegistryPrefix + "1", Revision: copied[0].Revision() + 5, Deleted: true})})
	g.Eventually(accepting, 5*time.Second).Should(Equal([]string{"3", "4"}))
}
