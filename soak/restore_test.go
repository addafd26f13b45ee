package soak_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"
)

// Routes that are added after the store came back from a copy have to be served in time.
func TestRestoredStoreLosesNoChange(t *testing.T) {
	const (
		drills = 3
		// applyTime is the time within which a configuration has to be in force.
		applyTime = 2 * time.Second
		// maxReadings is how often an entry may read all keys in a drill.
		maxReadings = 6
	)
	soak := newSoak(t)
	soak.modes = []string{"ordinary"}
	for _, entry := range soak.entries {
		entry.start()
	}
	soak.expectService()
	var replaced sync.WaitGroup
	defer replaced.Wait()
	for drill := range drills {
		copied := soak.store.copy()
		for number := range 3 + drill {
			soak.publish(soak.random)
			server, random := soak.servers[(drill+4*number)%len(soak.servers)], soak.random.fork()
			replaced.Go(func() { server.replace(true, true, random) })
			soak.pause(time.Duration(soak.random.IntN(1000)) * time.Millisecond)
		}
		soak.pause(time.Duration(soak.random.IntN(3000)) * time.Millisecond)
		readings := soak.store.readingCount()
		soak.store.setMode(storeRefusing)
		soak.pause(time.Duration(soak.random.IntN(2000)) * time.Millisecond)
		soak.store.restore(copied, time.Duration(soak.random.IntN(1500))*time.Millisecond)
		soak.pause(time.Duration(soak.random.IntN(1500)) * time.Millisecond)
		// Revisions of before are given out again one by one.
		for range 2 + 2*drill {
			soak.publish(soak.random)
			published := time.Now()
			for _, entry := range soak.entries {
				for !soak.servesRoute(entry, fmt.Sprintf("new%d", soak.version)) {
					if time.Since(published) > applyTime {
						t.Errorf("drill %d: %s does not serve the route added in version %d after %v", drill, entry.name, soak.version, applyTime)
						return
					}
					soak.pause(50 * time.Millisecond)
				}
			}
		}
		if count := soak.store.readingCount() - readings; count > maxReadings*len(soak.entries) {
			t.Errorf("drill %d: all keys were read %d times by %d entries", drill, count, len(soak.entries))
		}
	}
	soak.expectService()
	soak.ledger.report(t)
}

// servesRoute reports whether an entry knows a route to the service of lookups.
func (soak *soak) servesRoute(entry *entry, route string) bool {
	text := soak.response(entry, kindLook, route)
	return bytes.HasPrefix(text, []byte("HTTP/1.0 ")) && !bytes.HasPrefix(text, []byte("HTTP/1.0 404"))
}
