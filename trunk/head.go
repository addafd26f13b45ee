package trunk

import (
	"net/http"

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
