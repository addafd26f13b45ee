package trunk

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is one request as it goes to a server.
type Request struct {
	Method string
	// Target is the path with its query, sent as it is.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether an answer with header belongs to this request; nil
	// takes any.
	Matches func(header http.Header) bool
	// StillWanted is asked when the connection is there, right before the first byte is
	// written; false withdraws the request. Nil always sends it.
	StillWanted func() bool
}

// write sends the request. Bodies are sent with their length.
func (request *Request) write(writer *bufio.Writer) error {
	for _, part := range []string{request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n"} {
		if _, err := writer.WriteString(part); err != nil {
			return err
		}
	}
	if err := request.Header.Write(writer); err != nil {
		return err
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet {
		if _, err := writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if _, err := writer.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := writer.Write(request.Body); err != nil {
		return err
	}
	return writer.Flush()
}
