package trunk

import (
	"bytes"
	"net/http"
	"regexp"

	"golang.org/x/net/http/httpguts"
)

// MaxHeaderBytes bounds the header of a response, with any interim responses before it.
// Headers usually have a few hundred bytes.
const MaxHeaderBytes = 64 << 10

// The statuses that HTTP allows.
const (
	minStatus = 100
	maxStatus = 599
)

// EndsWithConnection reports whether the body of a response has neither a length nor chunks.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// CheckHead checks what package net/http accepts although it is no HTTP response: a status
// that has no meaning, or a field whose name holds a blank. Other readers ignore or understand
// a line such as "Content-Length : 5", so that they disagree about the body. It fails with a
// *[StatusError] or a *[FieldNameError].
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &StatusError{Status: response.StatusCode}
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// foldedField matches a line that continues the one before it, but reads as a field.
var foldedField = regexp.MustCompile("^[ \\t]+[-!#$%&'*+.^_`|~0-9A-Za-z]+[ \\t]*:")

// codingField matches a field that states how a body is framed.
var codingField = regexp.MustCompile(`^(?i:transfer-encoding)[ \t]*:`)

// firstCodingVersion is the first version of HTTP with transfer codings.
const firstCodingVersion = "HTTP/1.1"

// CheckLines checks the heads at the beginning of what a server sent, those of interim responses
// and that of the response, for fields that package net/http drops, and with them perhaps the end of
// the body. It joins a line that begins with a blank to the field before it, also if that line
// reads as a field, such as " Content-Length: 5". HTTP allows intermediaries to reject such a
// response. And it ignores transfer codings before HTTP/1.1, where HTTP takes them for a fault.
// CheckLines fails with a *[FoldedFieldError] or a *[CodingError].
func CheckLines(sent []byte) error {
	isStatusLine, interim, hasCodings := true, false, false
	for line := range bytes.Lines(sent) {
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case isStatusLine:
			_, status, _ := bytes.Cut(line, []byte(" "))
			isStatusLine, interim = false, bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
			hasCodings = string(line) >= firstCodingVersion
		case len(line) == 0 && !interim:
			return nil
		case len(line) == 0:
			isStatusLine = true
		case foldedField.Match(line):
			return &FoldedFieldError{Line: string(line)}
		case !hasCodings && codingField.Match(line):
			return &CodingError{Line: string(line)}
		}
	}
	return nil
}
