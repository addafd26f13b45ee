// Package accept owns the connections that others open to this process. A [Table] counts what all
// of them hold against the memory and the descriptors of the process, and is the one place that
// refuses a connection or a head. When there is no room, connections that have gone longest without
// a whole request make way for new ones.
//
// A [Conn] gives package net/http the head of a request only once it is whole: the head is received
// as plain bytes, within a limit, and what it takes when it is parsed is held before.
package accept
