// Package spool owns the way of log lines to standard output: a bounded buffer
// with a writer of its own, so that a slow reader never holds up the process.
// Lines that find the buffer full are dropped and counted.
package spool
