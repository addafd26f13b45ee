// Package event defines the numbered log events of all components, in one file
// for each component. The table docs/events.md is generated from them.
package event
