// Package rate measures rates per second that decay with a half-life. Its functions
// take the current time as an argument.
package rate
