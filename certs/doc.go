// Package certs provides TLS configurations from certificate files, which can be
// reloaded while the process runs: for the listeners that callers and operators
// use, and for mutual TLS between processes of the system.
package certs
