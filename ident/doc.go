// Package ident authenticates requests. An entry admits callers by keyed hashes
// of their keys, and passes a short-lived signed ticket to an agent in place of
// the key. The package also keeps credentials out of forwarded requests and logs.
package ident
