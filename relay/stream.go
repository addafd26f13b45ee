package relay

import (
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"strings"
)

// streamFormat is what the relay knows about the body of a stream.
type streamFormat int

const (
	// formatOpaque is a body whose parts can't be told apart.
	formatOpaque streamFormat = iota
	// formatEvents is a series of server-sent events.
	formatEvents
)

const eventStreamType = "text/event-stream"

// maxSeenIDs bounds the IDs that are kept of a stream whose IDs are not numbers.
const maxSeenIDs = 4096

// stream is what the caller has been sent of a stream, in one or several runs.
type stream struct {
	status    int
	mediaType string
	encoding  string
	format    streamFormat
	// wholeEvents reports whether only whole events are forwarded, so that another server
	// can continue after the last one.
	wholeEvents bool
	// delivered reports whether the caller has been sent an event, and lastID the ID of
	// the last one; it is empty if that event has none.
	delivered bool
	lastID    string
	// skipping reports whether the numbers of the events increase by more than one
	// somewhere.
	skipping bool
	// seenIDs holds the IDs that are not numbers.
	seenIDs map[string]struct{}
}

// newStream returns a stream that begins with a response. A response that declares
// no type is taken for events if the stream is resumable.
func newStream(response *responseReader, encoding string, resumable bool) *stream {
	stream := &stream{
		status: response.Status, mediaType: mediaType(response.Header), encoding: normalizedEncoding(encoding),
	}
	if stream.encoding == "" && (stream.mediaType == eventStreamType || (stream.mediaType == "" && resumable)) {
		stream.format = formatEvents
		stream.wholeEvents = resumable
	}
	return stream
}

// mediaType returns the type of a body without its parameters, in lower case. It is
// empty if header declares none.
func mediaType(header http.Header) string {
	value := header.Get("Content-Type")
	parsed, _, err := mime.ParseMediaType(value)
	if err != nil {
		parsed, _, _ = strings.Cut(value, ";")
	}
	return strings.ToLower(strings.TrimSpace(parsed))
}

// normalizedEncoding returns encoding in lower case, and an empty string for "identity".
func normalizedEncoding(encoding string) string {
	if strings.EqualFold(encoding, "identity") {
		return ""
	}
	return strings.ToLower(encoding)
}

// resumable reports whether another server can continue the stream.
func (stream *stream) resumable() bool {
	return stream.wholeEvents && (!stream.delivered || stream.lastID != "")
}

// checkHeader returns an error if a response is of another kind than the stream that it
// is to continue.
func (stream *stream) checkHeader(response *responseReader, encoding string) error {
	switch {
	case response.Status != stream.status:
		return &discontinuityError{lastID: stream.lastID, defect: fmt.Sprintf("has status %d, the stream has status %d", response.Status, stream.status)}
	case stream.mediaType != "" && mediaType(response.Header) != stream.mediaType:
		return &discontinuityError{lastID: stream.lastID, defect: fmt.Sprintf("has type %q, the stream has type %q", mediaType(response.Header), stream.mediaType)}
	case normalizedEncoding(encoding) != stream.encoding:
		return &discontinuityError{lastID: stream.lastID, defect: fmt.Sprintf("has encoding %q, the stream has encoding %q", encoding, stream.encoding)}
	default:
		return nil
	}
}

// checkNext returns an error if event can't follow the last event that the caller has
// been sent.
func (stream *stream) checkNext(event streamEvent) error {
	last, lastErr := strconv.ParseInt(stream.lastID, 10, 64)
	next, nextErr := strconv.ParseInt(event.id, 10, 64)
	_, seen := stream.seenIDs[event.id]
	follows := false
	switch {
	case event.failure || event.id == "":
	case lastErr != nil:
		follows = !seen && event.id != stream.lastID
	case nextErr != nil:
	case stream.skipping:
		follows = next > last
	default:
		follows = next-1 == last
	}
	switch {
	case follows:
		return nil
	case event.failure:
		return &discontinuityError{lastID: stream.lastID, defect: "begins with an error event"}
	default:
		return &discontinuityError{lastID: stream.lastID, defect: fmt.Sprintf("begins with event %q", event.id)}
	}
}

// recordEvent records a block that is forwarded.
func (stream *stream) recordEvent(event streamEvent) {
	if !event.dispatched {
		return
	}
	next, nextErr := strconv.ParseInt(event.id, 10, 64)
	if nextErr != nil && event.id != "" && len(stream.seenIDs) < maxSeenIDs {
		if stream.seenIDs == nil {
			stream.seenIDs = map[string]struct{}{}
		}
		stream.seenIDs[event.id] = struct{}{}
	}
	last, lastErr := strconv.ParseInt(stream.lastID, 10, 64)
	if lastErr == nil && nextErr == nil && next-1 != last {
		stream.skipping = true
	}
	stream.delivered, stream.lastID = true, event.id
}

// discontinuityError reports a response that doesn't continue the stream that it was to
// resume.
type discontinuityError struct {
	lastID string
	defect string
}

// Error implements [error].
func (discontinuityError *discontinuityError) Error() string {
	return fmt.Sprintf("response that is to continue a stream after event %q %s", discontinuityError.lastID, discontinuityError.defect)
}

// midEventError reports a stream that ends, as if it were complete, within an event.
type midEventError struct{}

// Error implements [error].
func (*midEventError) Error() string { return "stream ends within an event" }
