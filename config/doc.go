// Package config defines the operators' configuration (client accounts, keys,
// models, adapters, routes, objectives and signing keys) as an immutable
// [Snapshot], validates and applies changes to it, and stores its versions.
package config
