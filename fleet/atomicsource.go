package fleet

import "sync/atomic"

// AtomicSource is a [Source] whose view is replaced atomically.
type AtomicSource struct {
	current atomic.Pointer[View]
}

var _ Source = (*AtomicSource)(nil)

// NewAtomicSource returns a source with an empty view.
func NewAtomicSource() *AtomicSource {
	atomicSource := &AtomicSource{}
	atomicSource.current.Store(NewView(nil))
	return atomicSource
}

// Current implements [Source].
func (atomicSource *AtomicSource) Current() *View { return atomicSource.current.Load() }

// Replace sets the current view.
func (atomicSource *AtomicSource) Replace(view *View) { atomicSource.current.Store(view) }
