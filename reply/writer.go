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
		writer.begun = true
	}
	writer.ResponseWriter.WriteHeader(status)
}

// Write implements [http.ResponseWriter].
func (writer *Writer) Write(data []byte) (int, error) {
	writer.begun = true
	return writer.ResponseWriter.Write(data)
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
}

// Abort closes the connection so that the response does not look complete. It panics
// with [http.ErrAbortHandler].
func (writer *Writer) Abort() {
	writer.reset()
	panic(http.ErrAbortHandler)
}

// reset makes the connection of a response that has begun end with a reset if the
// protocol has no chunks: the response would be complete when its connection is closed.
func (writer *Writer) reset() {
	if !writer.begun || writer.request.ProtoAtLeast(1, 1) {
		return
	}
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

// Serve calls handle with a writer of the response to request. It closes the connection
// if handle returns without having written a response, and leaves no response looking
// complete if handle panics.
func Serve(writer http.ResponseWriter, request *http.Request, handle func(writer *Writer)) {
	tracked := NewWriter(writer, request)
	returned := false
	defer func() {
		if !returned {
			tracked.reset()
		}
	}()
	handle(tracked)
	returned = true
	tracked.Finish()
}

// Explicit returns a handler that serves each request with handler through [Serve].
func Explicit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		Serve(writer, request, func(writer *Writer) { handler.ServeHTTP(writer, request) })
	})
}
