package relay

import "bytes"

const (
	// maxFieldBytes bounds the beginning of a line that is kept to read its field.
	maxFieldBytes = 1 << 10
	// maxPendingBytes bounds an incomplete event that is held back.
	maxPendingBytes = 1 << 20
)

var (
	idField    = []byte("id")
	dataField  = []byte("data")
	eventField = []byte("event")
	errorEvent = []byte("error")
)

// streamEvent is a block of a stream of server-sent events, up to the blank line that
// ends it.
type streamEvent struct {
	// dispatched reports whether the block is an event, not just comments or settings.
	dispatched bool
	// id is empty if the event has no ID that a server can be sent.
	id string
	// failure reports whether the event is named "error".
	failure bool
}

// eventScanner finds the ends of events. Lines end with LF, CRLF or CR.
type eventScanner struct {
	// line is the beginning of the current line.
	line  []byte
	event streamEvent
	// inEvent reports whether the current block has a line that is no comment.
	inEvent bool
	// afterCR reports whether the last byte was CR, and crlf whether the last line that
	// began with a CR at its end went on with LF.
	afterCR, crlf bool
	// endsAfterLF reports whether the block ends with the LF that is still to come.
	endsAfterLF bool
}

// scan calls ended for each block that ends in data, with the offset of its end, until
// ended returns false.
func (eventScanner *eventScanner) scan(data []byte, ended func(end int, event streamEvent) bool) {
	for index, value := range data {
		end := -1
		if eventScanner.afterCR {
			eventScanner.afterCR = false
			eventScanner.crlf = value == '\n'
			if eventScanner.crlf {
				if eventScanner.endsAfterLF && !ended(index+1, eventScanner.takeEvent()) {
					return
				}
				continue
			}
			if eventScanner.endsAfterLF && !ended(index, eventScanner.takeEvent()) {
				return
			}
		}
		switch value {
		case '\n':
			if eventScanner.endLine() {
				end = index + 1
			}
		case '\r':
			eventScanner.afterCR = true
			blank := eventScanner.endLine()
			eventScanner.endsAfterLF = blank && eventScanner.crlf
			if blank && !eventScanner.crlf {
				end = index + 1
			}
		default:
			if len(eventScanner.line) < maxFieldBytes {
				eventScanner.line = append(eventScanner.line, value)
			}
		}
		if end >= 0 && !ended(end, eventScanner.takeEvent()) {
			return
		}
	}
}

// endLine reads the field of the current line and reports whether the line is blank.
func (eventScanner *eventScanner) endLine() bool {
	line := eventScanner.line
	if len(line) == 0 {
		return true
	}
	eventScanner.line = line[:0]
	if line[0] == ':' {
		return false
	}
	eventScanner.inEvent = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.Equal(name, idField):
		eventScanner.event.dispatched = true
		eventScanner.event.id = ""
		if len(line) < maxFieldBytes && !bytes.ContainsFunc(value, isControl) {
			eventScanner.event.id = string(value)
		}
	case bytes.Equal(name, dataField):
		eventScanner.event.dispatched = true
	case bytes.Equal(name, eventField):
		eventScanner.event.failure = bytes.Equal(value, errorEvent)
	}
	return false
}

// isControl reports whether an ID with the character can't be sent in a header.
func isControl(character rune) bool { return character < ' ' || character == 0x7f }

// takeEvent returns the current block and begins the next one.
func (eventScanner *eventScanner) takeEvent() streamEvent {
	event := eventScanner.event
	eventScanner.event, eventScanner.inEvent, eventScanner.endsAfterLF = streamEvent{}, false, false
	return event
}

// midEvent reports whether the data scanned so far ends within an event.
func (eventScanner *eventScanner) midEvent() bool {
	return eventScanner.inEvent || (len(eventScanner.line) > 0 && eventScanner.line[0] != ':')
}

// eventBuffer splits one server's stream into whole events and keeps the incomplete one
// at its end. It forwards nothing of a run that doesn't continue the stream.
type eventBuffer struct {
	stream  *stream
	scanner eventScanner
	// pending begins with the taken bytes that add has returned.
	pending []byte
	taken   int
	// begun reports whether the run has shown an event, or any byte if its events can't be
	// told apart.
	begun bool
	// unverified reports whether the run resumes the stream and has shown no event yet.
	unverified bool
	// count is the number of events of the run.
	count int
}

func newEventBuffer(stream *stream) *eventBuffer {
	return &eventBuffer{stream: stream, unverified: stream.delivered}
}

// add appends data and returns the bytes that can be forwarded. The result is valid
// until the next call. The error says why the run doesn't continue the stream.
func (buffer *eventBuffer) add(data []byte) ([]byte, error) {
	if buffer.stream.format == formatOpaque {
		buffer.begun = buffer.begun || len(data) > 0
		return data, nil
	}
	buffer.dropTaken()
	before, ready := len(buffer.pending), 0
	var defect error
	buffer.scanner.scan(data, func(end int, event streamEvent) bool {
		if event.dispatched && buffer.unverified {
			if defect = buffer.stream.checkNext(event); defect != nil {
				return false
			}
			buffer.unverified = false
		}
		buffer.begun = buffer.begun || event.dispatched
		if event.dispatched {
			buffer.count++
		}
		if !buffer.unverified {
			buffer.stream.recordEvent(event)
			ready = before + end
		}
		return true
	})
	if defect != nil {
		return nil, defect
	}
	if !buffer.stream.wholeEvents {
		return data, nil
	}
	buffer.pending = append(buffer.pending, data...)
	if len(buffer.pending)-ready > maxPendingBytes {
		if buffer.unverified {
			return nil, &discontinuityError{lastID: buffer.stream.lastID, defect: "begins with an event that is too long"}
		}
		buffer.stream.wholeEvents = false
		ready = len(buffer.pending)
	}
	buffer.taken = ready
	return buffer.pending[:ready:ready], nil
}

// dropTaken removes what add has returned.
func (buffer *eventBuffer) dropTaken() {
	buffer.pending = append(buffer.pending[:0], buffer.pending[buffer.taken:]...)
	buffer.taken = 0
}

// finish returns what is left to be forwarded at the end of the run, or an error if the
// run can't end here.
func (buffer *eventBuffer) finish() ([]byte, error) {
	switch {
	case buffer.unverified:
		return nil, &discontinuityError{lastID: buffer.stream.lastID, defect: "ends without an event"}
	case buffer.stream.format == formatEvents && buffer.scanner.midEvent():
		return nil, &midEventError{}
	default:
		return buffer.pending[buffer.taken:], nil
	}
}
