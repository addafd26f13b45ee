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
	purposeCount
)

// Purposes returns all purposes.
func Purposes() []Purpose { return []Purpose{Body, Response, Stream} }

// String returns the purpose as logs and metrics show it.
func (purpose Purpose) String() string {
	switch purpose {
	case Body:
		return "body"
	case Response:
		return "response"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}
