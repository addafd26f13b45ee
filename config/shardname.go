package config

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Sections of a stored configuration. They are part of the stored shard names.
const (
	sectionAccounts    = "a"
	sectionKeys        = "k"
	sectionModels      = "m"
	sectionRoutes      = "r"
	sectionObjectives  = "o"
	sectionSigningKeys = "s"
)

// Number of shards of each section that is split by name. Sharding limits what a
// change rewrites, and keeps every shard within the value size limit of the
// platform's key-value store.
const (
	accountShards = 8
	keyShards     = 64
	modelShards   = 32
	routeShards   = 8
)

// shardName identifies one shard of a stored configuration.
type shardName struct {
	section string
	index   int
}

// String returns the name used in a [Layout].
func (shardName shardName) String() string {
	return fmt.Sprintf("%s%d", shardName.section, shardName.index)
}

// shardOf returns the shard of section that holds name.
func shardOf(section string, count int, name string) shardName {
	return shardName{section: section, index: int(xxhash.Sum64String(name) % uint64(count))} //nolint:gosec // The remainder is small.
}

// shards splits snapshot into shards. It omits empty ones.
func shards(snapshot *Snapshot) map[shardName]*document {
	whole := encodeDocument(snapshot)
	parts := shardTable{}
	for _, account := range whole.Accounts {
		part := parts.shard(shardOf(sectionAccounts, accountShards, account.Name))
		part.Accounts = append(part.Accounts, account)
	}
	for _, key := range whole.Keys {
		part := parts.shard(shardOf(sectionKeys, keyShards, key.Name))
		part.Keys = append(part.Keys, key)
	}
	for _, model := range whole.Models {
		part := parts.shard(shardOf(sectionModels, modelShards, model.Name))
		part.Models = append(part.Models, model)
	}
	for _, route := range whole.Routes {
		part := parts.shard(shardOf(sectionRoutes, routeShards, route.Service))
		part.Routes = append(part.Routes, route)
	}
	if len(whole.Objectives) > 0 {
		parts.shard(shardName{section: sectionObjectives}).Objectives = whole.Objectives
	}
	if len(whole.SigningKeys) > 0 {
		parts.shard(shardName{section: sectionSigningKeys}).SigningKeys = whole.SigningKeys
	}
	return parts
}

// shardTable holds the shards of a configuration by name.
type shardTable map[shardName]*document

// shard returns the shard called name, and creates it if necessary.
func (shardTable shardTable) shard(name shardName) *document {
	part := shardTable[name]
	if part == nil {
		part = &document{}
		shardTable[name] = part
	}
	return part
}

func encodeShard(part *document) []byte { return mustMarshal(part) }
