// Package call defines the basic types that describe a request: its kind, its
// service level objective, token counts, and the outcome of an attempt.
package call
