// Package mirror keeps local copies of parts of the platform's key-value service.
// A mirror watches one prefix, reads everything again when the service has dropped
// changes, and reports each change, and outages of the service, to its handler.
package mirror
