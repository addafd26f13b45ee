// Package ready decides whether an instance that cannot keep up with its requests reports that
// it is not ready, so that the load balancer takes it out of rotation for some seconds. It has
// no clock and no network: functions take the current time as an argument.
package ready
