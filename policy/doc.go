// Package policy owns what operators decide about traffic that is passed on as
// opaque HTTP: routes, services, client accounts and limits, as an immutable
// snapshot.
package policy
