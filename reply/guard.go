package reply

import (
	"errors"
	"net/http"
	"runtime/debug"
)

// Guard returns a handler that closes the connection if handler returns without having
// written a response, or panics. It calls report with each panic other than
// [http.ErrAbortHandler].
func Guard(handler http.Handler, report func(fault any, stack []byte)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		tracked := NewWriter(writer, request)
		defer func() {
			fault := recover()
			if fault == nil {
				tracked.Finish()
				return
			}
			if err, ok := fault.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				report(fault, debug.Stack())
			}
			tracked.Abort()
		}()
		handler.ServeHTTP(tracked, request)
	})
}
