package node

import (
	stdlog "log"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
)

// receivedBytes introduces, in messages of net/http, bytes that a connection received. They
// may contain secrets.
const receivedBytes = " starting with "

// httpErrorWriter is the output of the error logs of HTTP servers and clients. It logs
// each message as a connection fault, without the bytes that the connection received.
type httpErrorWriter struct {
	log logrus.FieldLogger
}

// newErrorLog returns the error log of an HTTP server.
func newErrorLog(log logrus.FieldLogger) *stdlog.Logger {
	return stdlog.New(httpErrorWriter{log: log}, "", 0)
}

// Write implements [io.Writer].
func (httpErrorWriter httpErrorWriter) Write(text []byte) (int, error) {
	cause, _, _ := strings.Cut(string(text), receivedBytes)
	event.ConnectionFault.Log(httpErrorWriter.log, logrus.Fields{"cause": strings.TrimSpace(cause)})
	return len(text), nil
}
