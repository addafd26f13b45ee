// Package relay forwards callers' HTTP requests to backend servers without
// interpreting their bodies. It admits a request, selects a server, sends the
// request, retries it on other servers where that is allowed, and writes one final
// response.
//
// A refusal with status 429 or 503 guarantees that the request has not run and
// never will. It is returned only if no attempt reached a server, or if every
// server that received the request reported that it did not run it. A request that
// may have run ends with status 502 or 504, or with a closed connection once a
// response has begun.
package relay
