package spread

import (
	"sync"

	"github.com/basilkeel/basilkeel/config"
)

// historySize is the number of versions that are kept as bases of updates.
const historySize = 16

// history holds the configuration in force and the versions before it that
// updates for peers are based on. The version in force only rises. It is safe
// for concurrent use.
type history struct {
	// mutex guards all fields. No other lock is taken under it.
	mutex    sync.RWMutex
	snapshot *config.Snapshot
	// recent holds the last holdings, oldest first; the last is in force.
	recent []*config.Bundle
	// changed is closed and replaced when another version comes into force.
	changed chan struct{}
}

func newHistory() *history { return &history{changed: make(chan struct{})} }

// install puts holding in force and returns true. It returns false if the
// version in force is at least as high.
func (history *history) install(bundle *config.Bundle, snapshot *config.Snapshot) bool {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if history.snapshot != nil && snapshot.Version() <= history.snapshot.Version() {
		return false
	}
	history.snapshot = snapshot
	history.recent = append(history.recent, bundle)
	if len(history.recent) > historySize {
		history.recent = append([]*config.Bundle(nil), history.recent[1:]...)
	}
	close(history.changed)
	history.changed = make(chan struct{})
	return true
}

// current returns the snapshot in force, nil if there is none, and a channel that
// is closed when another comes into force.
func (history *history) current() (*config.Snapshot, <-chan struct{}) {
	history.mutex.RLock()
	defer history.mutex.RUnlock()
	return history.snapshot, history.changed
}

// latest returns the holding in force, or an empty one if there is none.
func (history *history) latest() *config.Bundle {
	history.mutex.RLock()
	defer history.mutex.RUnlock()
	if len(history.recent) == 0 {
		return config.EmptyBundle()
	}
	return history.recent[len(history.recent)-1]
}

// base returns the holding of version, or an empty one if it is not kept.
func (history *history) base(version config.Version) *config.Bundle {
	history.mutex.RLock()
	defer history.mutex.RUnlock()
	for _, bundle := range history.recent {
		if bundle.Version() == version {
			return bundle
		}
	}
	return config.EmptyBundle()
}
