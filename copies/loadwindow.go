package copies

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// extraLoads is how many loads may start beyond the rate over the window.
const extraLoads = 1

// loadWindow counts the loads from the weight store within a time window. A load that
// waits for an unload counts from its plan on, and its time in the window starts when
// the load starts.
type loadWindow struct {
	span       time.Duration
	startTimes []time.Time
	pending    map[names.BackendServer]bool
}

func newLoadWindow(span time.Duration) *loadWindow {
	return &loadWindow{span: span, pending: map[names.BackendServer]bool{}}
}

func (loadWindow *loadWindow) recordStart(now time.Time) {
	loadWindow.startTimes = append(loadWindow.startTimes, now)
}

// addPending counts a load that starts once the engine has unloaded other models.
func (loadWindow *loadWindow) addPending(server names.BackendServer) {
	loadWindow.pending[server] = true
}

// sync records the start of the pending loads whose engine no longer unloads. Some of
// these loads may never start, but they count as well.
func (loadWindow *loadWindow) sync(engines []EngineState, now time.Time) {
	unloading := map[names.BackendServer]bool{}
	for _, engine := range engines {
		unloading[engine.Server] = engine.Unloading
	}
	for server := range loadWindow.pending {
		if !unloading[server] {
			delete(loadWindow.pending, server)
			loadWindow.recordStart(now)
		}
	}
}

// allows reports whether another load stays within the rate over the window.
func (loadWindow *loadWindow) allows(perSecond float64, now time.Time) bool {
	kept := loadWindow.startTimes[:0]
	for _, begin := range loadWindow.startTimes {
		if now.Sub(begin) < loadWindow.span {
			kept = append(kept, begin)
		}
	}
	loadWindow.startTimes = kept
	return float64(len(kept)+len(loadWindow.pending)) < perSecond*loadWindow.span.Seconds()+extraLoads
}
