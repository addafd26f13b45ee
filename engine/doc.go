// Package engine provides access to backend servers. It declares the interfaces
// of model engines and plain services, and implements them with HTTP clients.
package engine
