package memory

// Purpose is what bytes are held for.
type Purpose int

const (
	// Body is the body of a request.
	Body Purpose = iota
	// Response is a response that is read ahead.
	Response
	// Stream is the buffers of a response that is forwarded as it arrives.
	Stream
	// Connection is an accepted connection: its buffers in the process and in the kernel.
	Connection
	// Head is the head of a request, as it was received and as it is parsed.
	Head
	purposeCount
)

// Purposes returns all purposes.
func Purposes() []Purpose { return []Purpose{Body, Response, Stream, Connection, Head} }

// String returns the purpose as logs and metrics show it.
func (purpose Purpose) String() string {
	switch purpose {
	case Body:
		return "body"
	case Response:
		return "response"
	case Stream:
		return "stream"
	case Connection:
		return "connection"
	case Head:
		return "head"
	default:
		return "unknown"
	}
}

// ofConnections reports whether the bytes are held before a request is admitted. They have a room
// of their own in the budget.
func (purpose Purpose) ofConnections() bool { return purpose == Connection || purpose == Head }
