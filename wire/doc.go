// Package wire owns the protocol between the system's own processes: the
// protocol buffer definitions and the code generated from them by
// scripts/proto, which is committed so that a build needs no generator.
package wire
