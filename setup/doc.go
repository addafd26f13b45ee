// Package setup defines the settings of each role: their flags and environment
// variables, and their validation, which precedes the start of a process.
package setup
