// Package pool owns an entry's view of the backend servers: what the registry
// says of them, how loaded they are, which are ejected for failing, and which
// one a request goes to. All of it is decision code that takes time as an
// argument.
package pool
