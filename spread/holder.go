package spread

import (
	"sync"

	"github.com/basilkeel/basilkeel/config"
)

// keptHoldings bounds the versions from which updates can be made.
const keptHoldings = 16

// holder has the configuration in force. Its version only rises. It is safe
// for concurrent use.
type holder struct {
	// mutex guards all fields. No other lock is taken under it.
	mutex    sync.RWMutex
	snapshot *config.Snapshot
	// kept holds the latest holdings, the one in force last.
	kept []*config.Bundle
	// changed is closed and replaced when a version comes into force.
	changed chan struct{}
}

func newHolder() *holder { return &holder{changed: make(chan struct{})} }

// adopt brings holding into force, unless its version is not higher.
func (holder *holder) adopt(bundle *config.Bundle, snapshot *config.Snapshot) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.snapshot != nil && snapshot.Version() <= holder.snapshot.Version() {
		return false
	}
	holder.snapshot = snapshot
	holder.kept = append(holder.kept, bundle)
	if len(holder.kept) > keptHoldings {
		holder.kept = append([]*config.Bundle(nil), holder.kept[1:]...)
	}
	close(holder.changed)
	holder.changed = make(chan struct{})
	return true
}

func (holder *holder) current() (*config.Snapshot, <-chan struct{}) {
	holder.mutex.RLock()
	defer holder.mutex.RUnlock()
	return holder.snapshot, holder.changed
}

// holding returns the holding in force, which is empty before the first.
func (holder *holder) holding() *config.Bundle {
	holder.mutex.RLock()
	defer holder.mutex.RUnlock()
	if len(holder.kept) == 0 {
		return config.EmptyBundle()
	}
	return holder.kept[len(holder.kept)-1]
}

// base returns the holding of version, or the empty one where it is not kept.
func (holder *holder) base(version config.Version) *config.Bundle {
	holder.mutex.RLock()
	defer holder.mutex.RUnlock()
	for _, bundle := range holder.kept {
		if bundle.Version() == version {
			return bundle
		}
	}
	return config.EmptyBundle()
}
