package relay

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStalledTransfersAreFoundOnce guards against a transfer that is lost from the list, so
// that its server's response is never read ahead, and against one that is reported although
// it has ended or a later one of the same watch has just begun.
func TestStalledTransfersAreFoundOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		transfers := newTransfers(func() time.Time { return now })
		// The timer is not started: the test looks for stalled transfers itself.
		transfers.armed = true
		watches := make([]*callerWatch, 5)
		for index := range watches {
			watches[index] = &callerWatch{}
		}
		began := map[*callerWatch]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			watch := rapid.SampledFrom(watches).Draw(t, "watch")
			switch rapid.SampledFrom([]string{"toggle", "look"}).Draw(t, "step") {
			case "toggle":
				transfers.end(watch)
				if _, active := began[watch]; active {
					delete(began, watch)
					continue
				}
				transfers.begin(watch, now)
				began[watch] = now
			case "look":
				stalled := transfers.takeStalled(now)
				for _, each := range watches {
					since, active := began[each]
					want := active && now.Sub(since) >= stallDelay
					if want != slices.Contains(stalled, each) {
						t.Fatalf("transfer of %v: stalled is %v, want %v", now.Sub(since), !want, want)
					}
					if want {
						// It is not reported again, but may still end.
						transfers.end(each)
						delete(began, each)
					}
				}
			}
		}
	})
}
