package copies

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// windowSlack is how many loads beyond rate and window are begun at most.
const windowSlack = 1

// loadWindow counts loads from the weight store. Loads that wait for an unload
// count from their plan on, and their span begins when they do.
type loadWindow struct {
	span    time.Duration
	begins  []time.Time
	waiting map[names.BackendServer]bool
}

func newLoadWindow(span time.Duration) *loadWindow {
	return &loadWindow{span: span, waiting: map[names.BackendServer]bool{}}
}

func (window *loadWindow) begin(now time.Time) { window.begins = append(window.begins, now) }

// plan counts a load that begins once an engine has unloaded something.
func (window *loadWindow) plan(server names.BackendServer) { window.waiting[server] = true }

// sync notes which of the loads that waited have begun, or never will.
func (window *loadWindow) sync(engines []EngineState, now time.Time) {
	unloading := map[names.BackendServer]bool{}
	for _, engine := range engines {
		unloading[engine.Server] = engine.Unloading
	}
	for server := range window.waiting {
		if !unloading[server] {
			delete(window.waiting, server)
			window.begin(now)
		}
	}
}

// allows tells whether another load keeps the rate over the window.
func (window *loadWindow) allows(perSecond float64, now time.Time) bool {
	kept := window.begins[:0]
	for _, begin := range window.begins {
		if now.Sub(begin) < window.span {
			kept = append(kept, begin)
		}
	}
	window.begins = kept
	return float64(len(kept)+len(window.waiting)) < perSecond*window.span.Seconds()+windowSlack
}
