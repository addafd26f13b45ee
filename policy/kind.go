package policy

// Kind determines whether requests may run more than once.
type Kind int

const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests are answered with an event stream. They run at most once,
	// unless the route is resumable.
	KindStream
)

// String implements [fmt.Stringer].
func (kind Kind) String() string {
	switch kind {
	case KindSafe:
		return "safe"
	case KindStream:
		return "stream"
	case KindUnsafe:
		return "unsafe"
	default:
		return "unknown"
	}
}
