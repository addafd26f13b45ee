package node

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
)

// httpErrors logs what an HTTP server writes about faults of its connections.
type httpErrors struct {
	log logrus.FieldLogger
}

// Write implements [io.Writer].
func (httpErrors httpErrors) Write(text []byte) (int, error) {
	event.ConnectionFault.Log(httpErrors.log, logrus.Fields{"cause": strings.TrimSpace(string(text))})
	return len(text), nil
}
