// Package sent reports whether any part of a gRPC call was passed to a connection.
// gRPC returns the same status for a call that found no connection and for one whose
// connection broke, so the status alone doesn't show whether the server received it.
package sent
