package fleet

// Source provides the current view. It is safe for concurrent use.
type Source interface {
	// Current returns the newest view, never nil.
	Current() *View
}
