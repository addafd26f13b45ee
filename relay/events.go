package relay

import "bytes"

// eventBuffer splits a stream into whole events and keeps the incomplete one at its end.
type eventBuffer struct {
	// wholeEvents makes add return only whole events; else it returns all bytes.
	wholeEvents bool
	pending     []byte
	// lastID is the ID of the last event that add has returned.
	lastID string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add appends data and returns the bytes that can be forwarded. The result is valid
// until the next call.
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

// recordLastID sets lastID from complete events.
func (buffer *eventBuffer) recordLastID(ready []byte) {
	for _, line := range bytes.Split(ready, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			buffer.lastID = string(bytes.TrimSpace(value))
		}
	}
}

// pendingBytes returns the number of bytes of the incomplete event.
func (buffer *eventBuffer) pendingBytes() int { return len(buffer.pending) }
