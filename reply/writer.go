package reply

import "net/http"

// Writer is a [http.ResponseWriter] that records whether a response has begun. A response
// to HTTP/1.0, which has no chunks, may be complete when its connection is closed; so the
// connection is reset unless the response is finished, also if the process is killed. The
// server needs [ConnContext] for that.
type Writer struct {
	http.ResponseWriter
	request *http.Request
	begun   bool
}

// NewWriter returns a writer of the response to request: writer itself if it is a
// *Writer.
func NewWriter(writer http.ResponseWriter, request *http.Request) *Writer {
	if tracked, ok := writer.(*Writer); ok {
		return tracked
	}
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
	if !writer.begun && writer.endsWithConnection() {
		setLinger(writer.request, 0)
	}
	writer.begun = true
}

func (writer *Writer) endsWithConnection() bool { return !writer.request.ProtoAtLeast(1, 1) }

// FlushError flushes the response for [http.ResponseController], which writes its header.
func (writer *Writer) FlushError() error {
	writer.begin()
	return http.NewResponseController(writer.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer, for [http.ResponseController].
func (writer *Writer) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// Begun reports whether the header of a final response has been written.
func (writer *Writer) Begun() bool { return writer.begun }

// Finish ends the response. If none has begun, it closes the connection: it panics with
// [http.ErrAbortHandler].
func (writer *Writer) Finish() {
	if !writer.begun {
		writer.Abort()
	}
	if !writer.endsWithConnection() {
		return
	}
	if err := http.NewResponseController(writer.ResponseWriter).Flush(); err != nil {
		writer.Abort()
	}
	setLinger(writer.request, defaultLinger)
}

// Abort closes the connection so that the response does not look complete. It panics
// with [http.ErrAbortHandler].
func (*Writer) Abort() { panic(http.ErrAbortHandler) }
