// Package stand implements small stand-ins for the services of the platform and
// for backend servers: the key-value service, the instance list, the weight
// store, model engines and plain services. Tests and the demo use them. Faults
// can be injected while they run.
package stand
