// Package fleet describes which instances are live, leaving or failed, as an
// immutable [View] that readers share and a single writer replaces.
package fleet
