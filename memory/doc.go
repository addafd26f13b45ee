// Package memory bounds the bytes that a process holds for its callers and servers, so that
// it does not exceed its memory. All requests of the process share one [Budget]; each takes
// bytes from it through an [Account]. The package has no clock and no network: functions
// take the current time as an argument, and a [Wait] is a value that its holder polls.
package memory
