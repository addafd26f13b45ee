package relay

import "bytes"

// eventBuffer holds back the part of a stream that is not yet a whole event.
type eventBuffer struct {
	// whole tells that only whole events are passed on.
	whole bool
	held  []byte
	// last is the identifier of the last event that was passed on.
	last string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add returns what can be passed on. The result is valid until the next call.
func (buffer *eventBuffer) add(data []byte) []byte {
	if !buffer.whole {
		return data
	}
	buffer.held = append(buffer.held, data...)
	end := bytes.LastIndex(buffer.held, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	ready := bytes.Clone(buffer.held[:end])
	buffer.held = append(buffer.held[:0], buffer.held[end:]...)
	buffer.note(ready)
	return ready
}

// note finds the identifier of the last event.
func (buffer *eventBuffer) note(ready []byte) {
	for _, line := range bytes.Split(ready, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			buffer.last = string(bytes.TrimSpace(value))
		}
	}
}

// rest counts the bytes that are held back.
func (buffer *eventBuffer) rest() int { return len(buffer.held) }
