// Package mirror owns local copies of parts of the platform's key-value
// service. A mirror follows one prefix by watching, reads everything again when
// changes were dropped, and tells its owner each difference and for how long
// the service has been out of reach.
package mirror
