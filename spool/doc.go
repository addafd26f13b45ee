// Package spool writes log lines asynchronously through a bounded buffer, so that
// a slow reader of standard output never blocks the process. Lines that arrive
// while the buffer is full are dropped and counted.
package spool
