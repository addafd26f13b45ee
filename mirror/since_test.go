package mirror_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSinceHasTheLatestChanges guards against results of Since that are kept beyond a change,
// and against results for one revision that are returned for another.
func TestSinceHasTheLatestChanges(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	follower, _ := startMirror(t, service)
	g.Eventually(follower.Revision).ShouldNot(BeZero())
	begin := service.put("a", "0", false)
	keys := map[string]string{}
	for _, key := range []string{"a", "b", "c", "b"} {
		middle := service.put(key, "1", false)
		latest := service.put(key, "2", key == "c")
		keys[key] = "2"
		g.Eventually(follower.Revision, 5*time.Second).Should(Equal(latest))
		follower.Confirm(latest)
		for range 2 {
			entries, to, whole, fresh := follower.Since(begin)
			g.Expect([]any{to, whole, fresh}).To(Equal([]any{latest, false, true}))
			found := map[string]string{}
			for _, entry := range entries {
				found[entry.Key()] = string(entry.Value())
			}
			g.Expect(found).To(Equal(keys))
			entries, _, _, _ = follower.Since(middle)
			g.Expect(entries).To(HaveLen(1))
			g.Expect(entries[0].Revision()).To(Equal(latest))
		}
	}
}
