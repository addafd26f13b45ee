package trunk

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bufferBytes holds a head and most events of a stream.
	bufferBytes = 4 << 10
	// mostStrays bounds the answers of other requests that are passed over.
	mostStrays = 2
	// mostStrayBytes bounds what is read of an answer that is passed over.
	mostStrayBytes = 1 << 20
	// mostHeadBytes bounds what is read until the head of an answer is whole, those
	// of interim answers included; heads have some hundred bytes.
	mostHeadBytes = 64 << 10
)

// line is one connection. It is used by one request at a time.
type line struct {
	address string
	conn    net.Conn
	head    *headBound
	reader  *bufio.Reader
	writer  *bufio.Writer
	// idleSince and idleLimit tell until when the server keeps the connection.
	idleSince time.Time
	idleLimit time.Duration
}

func newLine(address string, conn net.Conn) *line {
	head := &headBound{source: conn}
	return &line{
		address:   address,
		conn:      conn,
		head:      head,
		reader:    bufio.NewReaderSize(head, bufferBytes),
		writer:    bufio.NewWriterSize(conn, bufferBytes),
		idleLimit: defaultIdleLimit,
	}
}

// clean tells whether an idle connection is open and has received nothing.
func (line *line) clean() bool {
	if line.reader.Buffered() > 0 {
		return false
	}
	connection, ok := line.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// receive reads the head of the answer to request.
func (line *line) receive(request *Request) (*http.Response, error) {
	line.head.begin()
	defer line.head.end()
	for strays := 0; ; strays++ {
		response, err := http.ReadResponse(line.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return response, nil
		}
		if strays == mostStrays || response.ContentLength < 0 && response.Close {
			return nil, &MismatchError{Responses: strays + 1}
		}
		line.head.end()
		if _, err := io.CopyN(io.Discard, response.Body, mostStrayBytes); !errors.Is(err, io.EOF) {
			return nil, &MismatchError{Responses: strays + 1}
		}
		line.head.begin()
	}
}

// keepFor notes the idle time that the server grants in its answer.
func (line *line) keepFor(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if whole, err := strconv.Atoi(value); err == nil {
			line.idleLimit = time.Duration(whole)*time.Second - idleMargin
		}
	}
}
