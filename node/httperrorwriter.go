package node

import (
	stdlog "log"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
)

// httpErrorWriter is the output of an HTTP server's error log. It logs each
// message as a connection fault.
type httpErrorWriter struct {
	log logrus.FieldLogger
}

// newErrorLog returns the error log of an HTTP server.
func newErrorLog(log logrus.FieldLogger) *stdlog.Logger {
	return stdlog.New(httpErrorWriter{log: log}, "", 0)
}

// Write implements [io.Writer].
func (httpErrorWriter httpErrorWriter) Write(text []byte) (int, error) {
	event.ConnectionFault.Log(httpErrorWriter.log, logrus.Fields{"cause": strings.TrimSpace(string(text))})
	return len(text), nil
}
