// Package route picks the backend server for each request of an entry: it
// balances load between a target's replicas, ejects slow and failing servers,
// and decides whether a failed attempt may be retried or a slow one hedged.
//
// The package does no input or output and starts no goroutines; the current
// time is an argument. A [Router] is not safe for concurrent use.
package route
