// Package rate measures amounts a second, smoothed over a half-life. Time is an
// argument.
package rate
