package spread

import (
	"sync"

	"github.com/basilkeel/basilkeel/config"
)

// historySize bounds the versions from which updates can be made.
const historySize = 16

// history has the configuration in force. Its version only rises. It is safe
// for concurrent use.
type history struct {
	// mutex guards all fields. No other lock is taken under it.
	mutex    sync.RWMutex
	snapshot *config.Snapshot
	// recent holds the latest holdings, the one in force last.
	recent []*config.Holding
	// changed is closed and replaced when a version comes into force.
	changed chan struct{}
}

func newHistory() *history { return &history{changed: make(chan struct{})} }

// install brings holding into force, unless its version is not higher.
func (history *history) install(holding *config.Holding, snapshot *config.Snapshot) bool {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if history.snapshot != nil && snapshot.Version() <= history.snapshot.Version() {
		return false
	}
	history.snapshot = snapshot
	history.recent = append(history.recent, holding)
	if len(history.recent) > historySize {
		history.recent = append([]*config.Holding(nil), history.recent[1:]...)
	}
	close(history.changed)
	history.changed = make(chan struct{})
	return true
}

func (history *history) current() (*config.Snapshot, <-chan struct{}) {
	history.mutex.RLock()
	defer history.mutex.RUnlock()
	return history.snapshot, history.changed
}

// latest returns the holding in force, which is empty before the first.
func (history *history) latest() *config.Holding {
	history.mutex.RLock()
	defer history.mutex.RUnlock()
	if len(history.recent) == 0 {
		return config.EmptyHolding()
	}
	return history.recent[len(history.recent)-1]
}

// base returns the holding of version, or the empty one where it is not kept.
func (history *history) base(version config.Version) *config.Holding {
	history.mutex.RLock()
	defer history.mutex.RUnlock()
	for _, holding := range history.recent {
		if holding.Version() == version {
			return holding
		}
	}
	return config.EmptyHolding()
}
