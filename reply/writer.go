package reply

import (
	"net"
	"net/http"
)

// Writer is a [http.ResponseWriter] that records whether a response has begun.
type Writer struct {
	http.ResponseWriter
	request *http.Request
	begun   bool
}

// NewWriter returns a writer of the response to request.
func NewWriter(writer http.ResponseWriter, request *http.Request) *Writer {
	return &Writer{ResponseWriter: writer, request: request}
}

// WriteHeader implements [http.ResponseWriter].
func (writer *Writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		writer.begin()
	}
	writer.ResponseWriter.WriteHeader(status)
}

// Write implements [http.ResponseWriter].
func (writer *Writer) Write(data []byte) (int, error) {
	writer.begin()
	return writer.ResponseWriter.Write(data)
}

func (writer *Writer) begin() {
	if !writer.begun {
		writer.begun = true
		writer.setLinger(0)
	}
}

// Unwrap returns the underlying writer, for [http.ResponseController].
func (writer *Writer) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// Begun reports whether the header of a final response has been written.
func (writer *Writer) Begun() bool { return writer.begun }

// Finish ends the response. If none has begun, it closes the connection: it panics with
// [http.ErrAbortHandler].
func (writer *Writer) Finish() {
	if !writer.begun {
		panic(http.ErrAbortHandler)
	}
	writer.setLinger(-1)
}

// Abort closes the connection so that the response does not look complete. It panics
// with [http.ErrAbortHandler].
func (writer *Writer) Abort() {
	if writer.begun && !writer.request.ProtoAtLeast(1, 1) {
		writer.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset makes the connection end with a reset, as HTTP/1.0 has no chunks: a response
// without a length would be complete when its connection is closed.
func (writer *Writer) reset() {
	conn, _, err := http.NewResponseController(writer.ResponseWriter).Hijack()
	if err != nil {
		// The connection is closed or belongs to another protocol, which has frames.
		return
	}
	defer conn.Close()
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = tcpConn.SetLinger(0)
	}
}

// Explicit returns a handler that closes the connection if handler returns without
// having written a response.
func Explicit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		tracked := NewWriter(writer, request)
		handler.ServeHTTP(tracked, request)
		tracked.Finish()
	})
}
