package copies

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// extraLoads is how many loads beyond rate and window are begun at most.
const extraLoads = 1

// loadWindow counts loads from the weight store. Loads that wait for an unload
// count from their plan on, and their span begins when they do.
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

// addPending counts a load that begins once an engine has unloaded something.
func (loadWindow *loadWindow) addPending(server names.BackendServer) {
	loadWindow.pending[server] = true
}

// sync notes which of the loads that waited have begun, or never will.
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

// allows tells whether another load keeps the rate over the window.
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
