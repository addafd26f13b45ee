// Package relay owns the way of a request that is passed on as opaque HTTP:
// admission, choice of a backend server, sending, sending again where that is
// allowed, and the one final answer.
//
// A refusal with status 429 or 503 tells that the request has not run and never
// will. It is given only where no attempt left for a server or every server that
// was sent to said that it did not run the request. Whatever may have run ends in
// 502 or 504, or in a closed connection once an answer has begun.
package relay
