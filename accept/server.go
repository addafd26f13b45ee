package accept

import (
	stdlog "log"
	"net/http"

	"github.com/basilkeel/basilkeel/reply"
)

// maxParsedHeadBytes is the limit of package net/http, which parses no head that a [Conn] has not
// passed on.
const maxParsedHeadBytes = 1 << 30

// NewServer returns a server for connections of a [Listener]. It leaves all requests to handler:
// net/http would itself respond to OPTIONS * with success.
func NewServer(handler http.Handler, errorLog *stdlog.Logger) *http.Server {
	return &http.Server{
		Handler:                      handler,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            DefaultHeadTimeout,
		MaxHeaderBytes:               maxParsedHeadBytes,
		ConnContext:                  reply.ConnContext,
		ConnState:                    SetState,
		ErrorLog:                     errorLog,
	}
}
