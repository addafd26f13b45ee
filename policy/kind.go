package policy

// Kind tells what may be repeated of a request.
type Kind int

const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream answers are event streams; unless the route is resumable they
	// run at most once.
	KindStream
)

// String implements fmt.Stringer.
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
