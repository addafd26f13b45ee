package accept

import (
	"bytes"
	"strconv"
)

const (
	// maxLeadingBytes bounds the empty lines before a request. RFC 9112 section 2.2 asks servers
	// to ignore one; package net/http accepts two after some requests.
	maxLeadingBytes = 4
	// fieldBytes is what a field takes at most, beyond its name and value, in the map that package
	// net/http makes of a head.
	fieldBytes = 160
	// minFieldBytes is the length of the shortest field, with its line end.
	minFieldBytes = 4
	// parsedRatio is how often the bytes of a head are held while it is parsed.
	parsedRatio = 2
)

// headScanner finds the end of a request's head in bytes that come piece by piece.
type headScanner struct {
	// bytes is the length so far, leading that of empty lines before the request, lines the number
	// of whole lines after these.
	bytes, leading, lines int
	// lineBytes is the length of the line that has begun, and lineEnd its last byte.
	lineBytes int
	lineEnd   byte
}

// scan returns how many bytes of data belong to the head, and whether it ends there.
func (headScanner *headScanner) scan(data []byte) (int, bool) {
	for read := 0; read < len(data); {
		length := bytes.IndexByte(data[read:], '\n')
		if length < 0 {
			headScanner.extendLine(data[read:])
			return len(data), false
		}
		headScanner.extendLine(data[read : read+length])
		headScanner.bytes++
		read += length + 1
		if headScanner.endLine() {
			return read, true
		}
	}
	return len(data), false
}

func (headScanner *headScanner) extendLine(data []byte) {
	if len(data) > 0 {
		headScanner.lineBytes += len(data)
		headScanner.lineEnd = data[len(data)-1]
		headScanner.bytes += len(data)
	}
}

// endLine ends a line and reports whether that is the end of the head.
func (headScanner *headScanner) endLine() bool {
	empty := headScanner.lineBytes == 0 || headScanner.lineBytes == 1 && headScanner.lineEnd == '\r'
	length := headScanner.lineBytes + 1
	headScanner.lineBytes = 0
	switch {
	case !empty:
		headScanner.lines++
	case headScanner.lines == 0:
		headScanner.leading += length
	default:
		return true
	}
	return false
}

// begun reports whether bytes of a head have been read.
func (headScanner *headScanner) begun() bool { return headScanner.bytes > 0 }

// parsedBytes returns an upper bound of what the head takes once it is parsed.
func (headScanner *headScanner) parsedBytes() int64 {
	return int64(parsedRatio*headScanner.bytes + fieldBytes*headScanner.lines)
}

// bodyOf returns the body that follows a whole head. Heads that are not valid are refused by
// package net/http; what is returned for them does not matter.
func bodyOf(head []byte) bodyScanner {
	scanner := bodyScanner{}
	requestLine, fields, _ := bytes.Cut(head, []byte("\n"))
	persistent := bytes.HasSuffix(bytes.TrimRight(requestLine, "\r"), []byte("HTTP/1.1"))
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte("\n"))
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found:
		case bytes.EqualFold(name, []byte("content-length")):
			if length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				scanner.remaining = max(length, 0)
			}
		case bytes.EqualFold(name, []byte("transfer-encoding")) && persistent:
			// In HTTP/1.0 the field means nothing.
			scanner.chunked = true
		}
	}
	if scanner.chunked {
		scanner.remaining = 0
	}
	return scanner
}
