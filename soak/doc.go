// Package soak contains a test that plays callers, backend servers, the platform's
// key-value service and operators against several processes of the real program over
// loopback sockets, and checks what callers and servers see. It has no other code.
package soak
