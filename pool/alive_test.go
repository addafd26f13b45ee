package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/pool"
)

// TestAliveAfterABreak plays what comes from a server around the moment at which
// it broke off a request.
func TestAliveAfterABreak(t *testing.T) {
	server := &pool.Server{ID: "engine-1", Service: "notes", Slots: 4, Incarnation: 1}
	cases := []struct {
		name string
		// sent and heard are when a request was sent and when bytes of its answer came,
		// after the break.
		sent  time.Duration
		heard time.Duration
		born  int64
		alive bool
	}{
		{name: "nothing but what came before", sent: -time.Second, heard: -time.Millisecond, born: 1},
		{name: "bytes that were under way", sent: -time.Second, heard: 20 * time.Millisecond, born: 1},
		{name: "an event that it made later", sent: -time.Second, heard: 500 * time.Millisecond, born: 1, alive: true},
		{name: "an answer to a later request", sent: time.Millisecond, heard: 20 * time.Millisecond, born: 1, alive: true},
		{name: "another incarnation answers", sent: time.Millisecond, heard: 500 * time.Millisecond, born: 2},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
			restarted := *server
			restarted.Incarnation = each.born
			servers.Put(&restarted)
			broke := time.Unix(1_800_000_000, 0)
			servers.RecordBytes("engine-1", broke.Add(each.sent), broke.Add(each.heard))
			_, alive := servers.AliveAfter(server, broke)
			g.Expect(alive).To(Equal(each.alive))
		})
	}
}
