package mirror_test

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/store"
)

// restore brings the service back from a copy of its entries at a number, in its next era.
func restore(t *testing.T, service *fakeService, entries map[string]string, number int64) {
	t.Helper()
	service.set(func(service *fakeService) {
		era := service.revision.Era() + 1
		service.entries, service.log = map[string]store.Entry{}, nil
		for key, value := range entries {
			number++
			revision, err := store.NewRevision(era, number)
			if err != nil {
				t.Error(err)
			}
			service.entries[key] = store.NewEntry(store.EntryConfig{Key: key, Value: []byte(value), Revision: revision})
			service.revision, service.dropped = revision, revision
		}
	})
}

// Writes go on until the service's numbers have passed those of before.
func TestRestoredServiceIsFollowed(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	for range 20 {
		service.put("a", "new", false)
		service.put("b", "new", false)
	}
	first, firstRecorder := startMirror(t, service)
	second, secondRecorder := startMirror(t, service)
	values := func() []string {
		return []string{firstRecorder.value("a"), firstRecorder.value("b"), secondRecorder.value("a"), secondRecorder.value("b")}
	}
	relay := func() {
		first.Confirm(func() store.Revision {
			service.mutex.Lock()
			defer service.mutex.Unlock()
			return service.revision
		}())
		if entries, to, whole, fresh := first.Since(second.Revision()); fresh {
			second.Apply(entries, to, whole)
		} else {
			second.Detach()
		}
	}
	follow := func(want ...string) {
		t.Helper()
		g.Eventually(func() []string {
			relay()
			return values()
		}, waitTimeout, 10*time.Millisecond).Should(Equal(want))
	}
	follow("new", "new", "new", "new")
	for range 3 {
		snapshots, _ := service.counts()
		former := first.Revision()
		restore(t, service, map[string]string{"a": "old"}, 10)
		follow("old", "", "old", "")
		g.Expect(first.Revision()).To(BeNumerically(">", former))
		for round := range 30 {
			value := string(rune('A' + round))
			service.put("a", value, false)
			follow(value, firstRecorder.value("b"), value, secondRecorder.value("b"))
		}
		service.put("b", "new", false)
		follow(values()[0], "new", values()[2], "new")
		again, _ := service.counts()
		g.Expect(again-snapshots).To(BeNumerically("<=", 6), "readings of all entries")
	}
	g.Expect(maps.Equal(firstRecorder.values, secondRecorder.values)).To(BeTrue())
}
