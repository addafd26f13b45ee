// Package policy defines the operators' configuration of traffic that is forwarded as
// opaque HTTP: routes, services, client accounts and limits, in immutable snapshots.
package policy
