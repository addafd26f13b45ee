// Package conns maintains the gRPC connections to other instances: one per
// address, created on first use and closed once no instance has the address.
package conns
