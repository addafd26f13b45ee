// Package permit keeps the requests that all entries together send to a backend
// server within the rate that the server declares in its responses.
//
// A [Register] holds what servers have declared, as an entry observes it and as
// entries tell each other through the coordinator. The coordinator's [Issuer] issues
// a permit for each request to a server that declares a rate, to whichever entry asks,
// so that the rate goes to where the requests are. The [Gate] of an entry decides which
// requests need a permit, and what the entry may send without a coordinator. A server that is [Cold] accepts the rate
// that its service declares for that, in any second. All of the code takes the time as
// an argument.
package permit
