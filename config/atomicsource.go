package config

import "sync/atomic"

// AtomicSource is a [Source] whose snapshot is replaced atomically, and only by
// one of a higher version. The zero value has no snapshot.
type AtomicSource struct {
	current atomic.Pointer[Snapshot]
}

var _ Source = (*AtomicSource)(nil)

// Current implements [Source].
func (atomicSource *AtomicSource) Current() *Snapshot { return atomicSource.current.Load() }

// Advance makes snapshot the current one if its version is higher, and reports
// whether it did.
func (atomicSource *AtomicSource) Advance(snapshot *Snapshot) bool {
	for {
		old := atomicSource.current.Load()
		if old != nil && old.Version() >= snapshot.Version() {
			return false
		}
		if atomicSource.current.CompareAndSwap(old, snapshot) {
			return true
		}
	}
}
