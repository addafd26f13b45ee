// Package reply tracks what an HTTP handler has written, so that the absence of a
// response is never taken for a response. Without it, net/http completes a handler that
// returns without writing with status 200 and an empty body, also when the handler
// returned because the caller seemed to be gone.
package reply
