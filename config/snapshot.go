package config

import (
	"strings"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// SnapshotConfig carries the parts of a [Snapshot].
type SnapshotConfig struct {
	Version    Version
	Accounts   []ClientAccount
	Keys       []Key
	Models     []Model
	Routes     []Route
	Objectives map[call.Kind]call.Objective
	// SigningKeys are the ticket signing keys in rotation.
	SigningKeys []SigningKey
}

// Snapshot is one version of the configuration. It is immutable and safe for
// concurrent use. A reader should use a single snapshot for a whole decision.
type Snapshot struct {
	config   SnapshotConfig
	accounts map[names.ClientAccount]ClientAccount
	// keys maps the keyed hash of a secret to its key.
	keys   map[string]Key
	models map[names.Model]Model
}

// NewSnapshot returns a snapshot of the parts in config, which the caller must
// not change afterwards.
func NewSnapshot(config SnapshotConfig) *Snapshot {
	snapshot := &Snapshot{
		config:   config,
		accounts: make(map[names.ClientAccount]ClientAccount, len(config.Accounts)),
		keys:     make(map[string]Key, len(config.Keys)),
		models:   make(map[names.Model]Model, len(config.Models)),
	}
	for _, account := range config.Accounts {
		snapshot.accounts[account.Name()] = account
	}
	for _, key := range config.Keys {
		snapshot.keys[key.Hash()] = key
	}
	for _, model := range config.Models {
		snapshot.models[model.Name()] = model
	}
	return snapshot
}

// Version returns the version of the configuration.
func (snapshot *Snapshot) Version() Version { return snapshot.config.Version }

// Accounts lists the client accounts. The caller must not change the slice.
func (snapshot *Snapshot) Accounts() []ClientAccount { return snapshot.config.Accounts }

// Keys lists the keys. The caller must not change the slice.
func (snapshot *Snapshot) Keys() []Key { return snapshot.config.Keys }

// Models lists the models. The caller must not change the slice.
func (snapshot *Snapshot) Models() []Model { return snapshot.config.Models }

// Routes lists the routes to plain services, in order of precedence.
func (snapshot *Snapshot) Routes() []Route { return snapshot.config.Routes }

// SigningKeys lists the ticket signing keys. The caller must not change the
// slice.
func (snapshot *Snapshot) SigningKeys() []SigningKey { return snapshot.config.SigningKeys }

// Account returns the client account called name.
func (snapshot *Snapshot) Account(name names.ClientAccount) (ClientAccount, bool) {
	account, ok := snapshot.accounts[name]
	return account, ok
}

// KeyByHash returns the key with the given keyed hash. Because the hash is keyed
// with a secret, the timing of the lookup reveals nothing about stored keys.
func (snapshot *Snapshot) KeyByHash(hash string) (Key, bool) {
	key, ok := snapshot.keys[hash]
	return key, ok
}

// Model returns the model called name.
func (snapshot *Snapshot) Model(name names.Model) (Model, bool) {
	model, ok := snapshot.models[name]
	return model, ok
}

// Objective returns the latency objective for requests of kind, or the zero
// objective if there is none.
func (snapshot *Snapshot) Objective(kind call.Kind) call.Objective {
	return snapshot.config.Objectives[kind]
}

// hasPathPrefix reports whether path is prefix or lies below it. Only whole path
// segments match.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Route returns the first route of service that matches method and the decoded
// path.
func (snapshot *Snapshot) Route(service names.Service, method, path string) (Route, bool) {
	for _, route := range snapshot.config.Routes {
		if route.Service() != service {
			continue
		}
		if route.Method() != "" && route.Method() != method {
			continue
		}
		if hasPathPrefix(path, route.PathPrefix()) {
			return route, true
		}
	}
	return Route{}, false
}
