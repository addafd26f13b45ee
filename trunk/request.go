package trunk

import (
	"bufio"
	"net/http"
	"strconv"

	"github.com/basilkeel/basilkeel/memory"
)

// Request is a request to a server.
type Request struct {
	Method string
	// Target is the path with its query, which is sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   memory.Pieces
	// Matches reports whether a response with header belongs to this request. It is nil
	// if responses don't tell; the request then opens a connection, on which no response
	// to an earlier request can arrive.
	Matches func(header http.Header) bool
	// Skipped is called for each response that is skipped because it does not belong to
	// this request; nil means no call.
	Skipped func(status int, header http.Header)
	// StillWanted is called when the connection is ready, right before the first byte
	// is written. The request is sent if it returns true or StillWanted is nil.
	StillWanted func() bool
}

// write writes the request and flushes writer. It sets Content-Length, except for GET
// requests without a body.
func (request *Request) write(writer *bufio.Writer) error {
	for _, part := range []string{request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n"} {
		if _, err := writer.WriteString(part); err != nil {
			return err
		}
	}
	if err := request.Header.Write(writer); err != nil {
		return err
	}
	if length := request.Body.Len(); length > 0 || request.Method != http.MethodGet {
		if _, err := writer.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n"); err != nil {
			return err
		}
	}
	if _, err := writer.WriteString("\r\n"); err != nil {
		return err
	}
	for _, piece := range request.Body {
		if _, err := writer.Write(piece); err != nil {
			return err
		}
	}
	return writer.Flush()
}
