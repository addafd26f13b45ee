package config

import "sync/atomic"

// AtomicSource is a [Source] whose snapshot only ever rises in version.
type AtomicSource struct {
	current atomic.Pointer[Snapshot]
}

var _ Source = (*AtomicSource)(nil)

// Current implements [Source].
func (atomicSource *AtomicSource) Current() *Snapshot { return atomicSource.current.Load() }

// Advance sets the snapshot if its version is above the held one, and tells
// whether it did.
func (atomicSource *AtomicSource) Advance(snapshot *Snapshot) bool {
	for {
		held := atomicSource.current.Load()
		if held != nil && held.Version() >= snapshot.Version() {
			return false
		}
		if atomicSource.current.CompareAndSwap(held, snapshot) {
			return true
		}
	}
}
