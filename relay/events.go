package relay

import "bytes"

// eventBuffer holds back the part of a stream that is not yet a whole event.
type eventBuffer struct {
	// wholeEvents tells that only whole events are passed on.
	wholeEvents bool
	pending     []byte
	// lastID is the identifier of the last event that was passed on.
	lastID string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add returns what can be passed on. The result is valid until the next call.
func (buffer *eventBuffer) add(data []byte) []byte {
	if !buffer.wholeEvents {
		return data
	}
	buffer.pending = append(buffer.pending, data...)
	end := bytes.LastIndex(buffer.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	ready := bytes.Clone(buffer.pending[:end])
	buffer.pending = append(buffer.pending[:0], buffer.pending[end:]...)
	buffer.recordLastID(ready)
	return ready
}

// recordLastID finds the identifier of the last event.
func (buffer *eventBuffer) recordLastID(ready []byte) {
	for _, line := range bytes.Split(ready, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			buffer.lastID = string(bytes.TrimSpace(value))
		}
	}
}

// pendingBytes counts the bytes that are held back.
func (buffer *eventBuffer) pendingBytes() int { return len(buffer.pending) }
