package trunk

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bufferBytes is enough for a header and for most events of a stream.
	bufferBytes = 4 << 10
	// maxMismatched bounds the responses to other requests that are skipped.
	maxMismatched = 2
	// maxMismatchedBytes bounds the body of a response that is skipped.
	maxMismatchedBytes = 1 << 20
)

// connection is a connection to a backend server. One request uses it at a time.
type connection struct {
	address string
	conn    net.Conn
	limiter *headerLimiter
	reader  *bufio.Reader
	writer  *bufio.Writer
	// idleSince is when the connection was opened or last completed a response, and
	// idleLimit how long it may then be reused.
	idleSince time.Time
	idleLimit time.Duration
}

func newConnection(address string, conn net.Conn, openedAt time.Time) *connection {
	limiter := &headerLimiter{source: conn}
	return &connection{
		address:   address,
		conn:      conn,
		limiter:   limiter,
		reader:    bufio.NewReaderSize(limiter, bufferBytes),
		writer:    bufio.NewWriterSize(conn, bufferBytes),
		idleSince: openedAt,
		idleLimit: defaultIdleLimit,
	}
}

// reusable reports whether an idle connection is open and has received nothing.
func (connection *connection) reusable() bool {
	received, open := connection.peek()
	return open && !received
}

// peek reports whether the connection has received bytes that have not been read, and
// whether it may still receive any.
func (connection *connection) peek() (received, open bool) {
	if connection.reader.Buffered() > 0 {
		return true, true
	}
	socket, ok := connection.conn.(syscall.Conn)
	if !ok {
		return false, true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		received = peekErr == nil && count > 0
		open = received || errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return received, open && err == nil
}

// hasBytes reports whether the connection has received bytes that have not been read.
func (connection *connection) hasBytes() bool {
	received, _ := connection.peek()
	return received
}

// limitHeader bounds the bytes that are read until the next header is complete.
func (connection *connection) limitHeader() {
	// Peek returns all that is buffered and no error.
	buffered, _ := connection.reader.Peek(connection.reader.Buffered())
	connection.limiter.enable(buffered)
}

// readResponse reads the header of the response to request. It skips interim responses
// and responses to other requests. It fails with a *[MismatchError] at a response to
// another request if [maxMismatched] such responses were skipped before, or if that
// response cannot be skipped.
func (connection *connection) readResponse(request *Request) (*http.Response, error) {
	connection.limitHeader()
	defer connection.limiter.disable()
	for mismatched := 0; ; {
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if line := enclosedStatusLine(response); line != "" {
			return nil, &SplicedError{StatusLine: line}
		}
		if err := CheckHead(response); err != nil {
			return nil, err
		}
		if err := CheckLines(connection.limiter.received); err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, &StatusError{Status: response.StatusCode}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return response, nil
		}
		mismatched++
		if request.Skipped != nil {
			request.Skipped(response.StatusCode, response.Header)
		}
		if mismatched > maxMismatched || !connection.skipBody(request, response) {
			return nil, &MismatchError{Responses: mismatched}
		}
	}
}

// statusLineBytes is the length of what [statusLine] matches.
const statusLineBytes = len("HTTP/1.1 200")

// statusLine matches the beginning of a response.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [1-5][0-9][0-9]`)

// protocolName is the beginning of what [statusLine] matches. Most texts lack it, which is
// found out much faster than that they lack a status line.
const protocolName = "HTTP/"

// findStatusLine returns the first status line in text, or an empty string.
func findStatusLine(text string) string {
	if !strings.Contains(text, protocolName) {
		return ""
	}
	return statusLine.FindString(text)
}

// enclosedStatusLine returns the status line of another response in the reason or a
// header of response, or an empty string. One is there if response was cut within its
// header, so that what follows it was read as a part of it.
func enclosedStatusLine(response *http.Response) string {
	if line := findStatusLine(response.Status); line != "" {
		return line
	}
	for _, values := range response.Header {
		for _, value := range values {
			if line := findStatusLine(value); line != "" {
				return line
			}
		}
	}
	return ""
}

// skipBody reads the body of a response to another request. It reports whether the next
// response on the connection can be read. After a HEAD request that is not so, as the
// other response may have a body.
func (connection *connection) skipBody(request *Request, response *http.Response) bool {
	if response.Close || request.Method == http.MethodHead {
		return false
	}
	connection.limiter.disable()
	defer connection.limitHeader()
	_, err := io.CopyN(io.Discard, response.Body, maxMismatchedBytes)
	return errors.Is(err, io.EOF)
}

// readIdleLimit sets the idle limit from the Keep-Alive header of a response.
func (connection *connection) readIdleLimit(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			connection.idleLimit = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}
