package config

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
)

// Action is how a part of a configuration changed.
type Action string

// Actions of a [Difference].
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Difference describes one part in which two configurations differ.
type Difference struct {
	Path   string
	Action Action
	// Before and After are the JSON forms of the part, empty where it is absent.
	Before string
	After  string
}

// Diff returns the parts in which after differs from before, sorted by path.
func Diff(before, after *Snapshot) []Difference {
	beforeParts, afterParts := parts(before), parts(after)
	paths := maps.Clone(beforeParts)
	maps.Copy(paths, afterParts)
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if difference, ok := compareParts(path, beforeParts[path], afterParts[path]); ok {
			differences = append(differences, difference)
		}
	}
	return differences
}

func compareParts(path string, before, after []byte) (Difference, bool) {
	difference := Difference{Path: path, Action: ActionChanged, Before: string(before), After: string(after)}
	switch {
	case bytes.Equal(before, after):
		return Difference{}, false
	case before == nil:
		difference.Action = ActionAdded
	case after == nil:
		difference.Action = ActionRemoved
	}
	return difference, true
}

// parts returns the JSON form of each part of snapshot, keyed by path.
func parts(snapshot *Snapshot) map[string][]byte {
	document := encodeDocument(snapshot)
	parts := map[string][]byte{}
	for _, account := range document.Accounts {
		parts["accounts/"+account.Name] = mustMarshal(account)
	}
	for _, key := range document.Keys {
		parts["keys/"+key.Name] = mustMarshal(key)
	}
	for _, model := range document.Models {
		for _, adapter := range model.Adapters {
			parts["models/"+model.Name+"/adapters/"+adapter.Name] = mustMarshal(adapter)
		}
		model.Adapters = nil
		parts["models/"+model.Name] = mustMarshal(model)
	}
	positions := map[string]int{}
	for _, route := range document.Routes {
		parts["routes/"+route.Service+"/"+strconv.Itoa(positions[route.Service])] = mustMarshal(route)
		positions[route.Service]++
	}
	for _, objective := range document.Objectives {
		parts["objectives/"+objective.Kind] = mustMarshal(objective)
	}
	for _, signingKey := range document.SigningKeys {
		parts["signingKeys/"+signingKey.ID] = mustMarshal(signingKey)
	}
	return parts
}
