package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// draft is a mutable copy of a configuration, to which edits are applied.
type draft struct {
	accounts    map[names.ClientAccount]ClientAccount
	keys        map[names.Key]Key
	models      map[names.Model]Model
	routes      map[names.Service][]Route
	objectives  map[call.Kind]call.Objective
	signingKeys map[string]SigningKey
}

func newDraft(snapshot *Snapshot) *draft {
	draft := &draft{
		accounts:    maps.Clone(snapshot.accounts),
		keys:        make(map[names.Key]Key, len(snapshot.config.Keys)),
		models:      maps.Clone(snapshot.models),
		routes:      map[names.Service][]Route{},
		objectives:  map[call.Kind]call.Objective{},
		signingKeys: map[string]SigningKey{},
	}
	for _, key := range snapshot.config.Keys {
		draft.keys[key.Name()] = key
	}
	for _, route := range snapshot.config.Routes {
		draft.routes[route.Service()] = append(draft.routes[route.Service()], route)
	}
	maps.Copy(draft.objectives, snapshot.config.Objectives)
	for _, signingKey := range snapshot.config.SigningKeys {
		draft.signingKeys[signingKey.ID()] = signingKey
	}
	return draft
}

func (draft *draft) apply(edit Edit) []Fault {
	switch edit := edit.(type) {
	case PutAccount:
		draft.accounts[edit.Account.Name()] = edit.Account
	case RemoveAccount:
		return remove(draft.accounts, edit.Name, "accounts/"+string(edit.Name))
	case PutKey:
		return draft.putKey(edit.Key)
	case RemoveKey:
		return remove(draft.keys, edit.Name, "keys/"+string(edit.Name))
	case WithdrawKey:
		return draft.withdrawKey(edit.Name)
	case PutModel:
		draft.models[edit.Model.Name()] = edit.Model
	case RemoveModel:
		return remove(draft.models, edit.Name, "models/"+string(edit.Name))
	case PutAdapter:
		return draft.editAdapters(edit.Model, edit.Adapter.Name(), &edit.Adapter)
	case RemoveAdapter:
		return draft.editAdapters(edit.Model, edit.Name, nil)
	case PutRoutes:
		return draft.putRoutes(edit)
	case PutObjective:
		draft.objectives[edit.Kind] = edit.Objective
	case PutSigningKey:
		draft.signingKeys[edit.SigningKey.ID()] = edit.SigningKey
	case RemoveSigningKey:
		return remove(draft.signingKeys, edit.ID, "signingKeys/"+edit.ID)
	}
	return nil
}

func remove[K comparable, V any](table map[K]V, name K, path string) []Fault {
	if _, ok := table[name]; !ok {
		return []Fault{{Path: path, Problem: "does not exist"}}
	}
	delete(table, name)
	return nil
}

func (draft *draft) putKey(key Key) []Fault {
	previous, ok := draft.keys[key.Name()]
	if ok && previous.Withdrawn() && !key.Withdrawn() {
		return []Fault{{Path: "keys/" + string(key.Name()), Problem: "is withdrawn; issue a key with another name"}}
	}
	draft.keys[key.Name()] = key
	return nil
}

func (draft *draft) withdrawKey(name names.Key) []Fault {
	key, ok := draft.keys[name]
	if !ok {
		return []Fault{{Path: "keys/" + string(name), Problem: "does not exist"}}
	}
	key.config.Withdrawn = true
	draft.keys[name] = key
	return nil
}

// editAdapters adds or replaces the adapter adapterName of the model called
// name, or removes it if adapter is nil.
func (draft *draft) editAdapters(name names.Model, adapterName names.Adapter, adapter *Adapter) []Fault {
	path := "models/" + string(name)
	model, ok := draft.models[name]
	if !ok {
		return []Fault{{Path: path, Problem: "does not exist"}}
	}
	isNamed := func(other Adapter) bool { return other.Name() == adapterName }
	if adapter == nil && !slices.ContainsFunc(model.Adapters(), isNamed) {
		return []Fault{{Path: path + "/adapters/" + string(adapterName), Problem: "does not exist"}}
	}
	adapters := slices.DeleteFunc(slices.Clone(model.Adapters()), isNamed)
	if adapter != nil {
		adapters = append(adapters, *adapter)
	}
	model.config.Adapters = adapters
	draft.models[name] = model
	return nil
}

func (draft *draft) putRoutes(edit PutRoutes) []Fault {
	for _, route := range edit.Routes {
		if route.Service() != edit.Service {
			return []Fault{{Path: "routes/" + string(edit.Service), Problem: "has a route of service " + string(route.Service())}}
		}
	}
	if len(edit.Routes) == 0 {
		return remove(draft.routes, edit.Service, "routes/"+string(edit.Service))
	}
	draft.routes[edit.Service] = slices.Clone(edit.Routes)
	return nil
}

// snapshot returns the draft in canonical order: routes by service and
// precedence, everything else by name.
func (draft *draft) snapshot(version Version) *Snapshot {
	config := SnapshotConfig{
		Version:     version,
		Accounts:    sorted(draft.accounts),
		Keys:        sorted(draft.keys),
		Models:      sorted(draft.models),
		Objectives:  draft.objectives,
		SigningKeys: sorted(draft.signingKeys),
	}
	for i, model := range config.Models {
		adapters := slices.Clone(model.Adapters())
		slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(a.Name(), b.Name()) })
		config.Models[i].config.Adapters = adapters
	}
	for _, service := range slices.Sorted(maps.Keys(draft.routes)) {
		config.Routes = append(config.Routes, draft.routes[service]...)
	}
	return NewSnapshot(config)
}

// sorted returns the values of table, sorted by key.
func sorted[K cmp.Ordered, V any](table map[K]V) []V {
	values := make([]V, 0, len(table))
	for _, name := range slices.Sorted(maps.Keys(table)) {
		values = append(values, table[name])
	}
	return values
}
