// Package pool tracks an entry's view of the backend servers: what the registry
// lists, how loaded each server is, which servers are ejected after failures, and
// which server a request goes to. Its functions take the current time as an
// argument.
package pool
