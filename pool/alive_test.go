package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/pool"
)

// TestAliveAfterABreak checks which response bytes prove that a server was still alive
// after one of its responses was cut off.
func TestAliveAfterABreak(t *testing.T) {
	server := &pool.Server{ID: "engine-1", Service: "notes", Slots: 4, Incarnation: 1}
	cases := []struct {
		name string
		// sent and received are when a request was sent and when bytes of its response
		// arrived, relative to the break.
		sent        time.Duration
		received    time.Duration
		incarnation int64
		alive       bool
	}{
		{name: "nothing but what came before", sent: -time.Second, received: -time.Millisecond, incarnation: 1},
		{name: "bytes that were under way", sent: -time.Second, received: 20 * time.Millisecond, incarnation: 1},
		{name: "an event that it made later", sent: -time.Second, received: 500 * time.Millisecond, incarnation: 1, alive: true},
		{name: "an answer to a later request", sent: time.Millisecond, received: 20 * time.Millisecond, incarnation: 1, alive: true},
		{name: "another incarnation answers", sent: time.Millisecond, received: 500 * time.Millisecond, incarnation: 2},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
			restarted := *server
			restarted.Incarnation = each.incarnation
			servers.Put(&restarted)
			broken := time.Unix(1_800_000_000, 0)
			servers.RecordBytes("engine-1", broken.Add(each.sent), broken.Add(each.received))
			_, alive := servers.AliveAfter(server, broken)
			g.Expect(alive).To(Equal(each.alive))
		})
	}
}
