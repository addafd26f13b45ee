// Package demo implements the demo: it starts a fleet of separate processes,
// sends one request of each kind and prints the responses.
package demo
