// Package trial starts small fleets of separate processes on the loopback
// interface, for the demo and for failure tests.
package trial
