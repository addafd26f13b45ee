package config

import (
	"maps"
	"slices"
)

// Update turns the bundle of one version into that of another. An update from
// version 0 contains the whole configuration.
type Update struct {
	Base    Version
	Version Version
	// Layout is the hash of the target layout.
	Layout Hash
	// Parts are the shards that were added or changed.
	Parts []UpdatePart
	// Removed lists the names of the shards that were removed.
	Removed []string
}

// UpdatePart is a shard that was added or changed.
type UpdatePart struct {
	Name string
	Ref  Ref
	// Patch applies to the base's shard of the same name, or to an empty object
	// if there is none.
	Patch Patch
}

// EmptyBundle returns the bundle of version 0.
func EmptyBundle() *Bundle { return NewBundle(newLayout(0, nil), nil) }

// NewUpdate returns the update that turns base into target.
func NewUpdate(base, target *Bundle) Update {
	update := Update{Base: base.Version(), Version: target.Version(), Layout: HashOf(target.layout.Encoded())}
	for _, name := range slices.Sorted(maps.Keys(target.layout.refs)) {
		before, after := base.layout.refs[name], target.layout.refs[name]
		if before == after {
			continue
		}
		patch := newPatch(base.objects[before.Hash], target.objects[after.Hash])
		update.Parts = append(update.Parts, UpdatePart{Name: name, Ref: after, Patch: patch})
	}
	for _, name := range slices.Sorted(maps.Keys(base.layout.refs)) {
		if _, ok := target.layout.refs[name]; !ok {
			update.Removed = append(update.Removed, name)
		}
	}
	return update
}

// Apply returns the target bundle. It returns an *[UpdateError] if the update
// starts from a version other than that of base, or was altered.
func (update Update) Apply(base *Bundle) (*Bundle, error) {
	if base.Version() != update.Base {
		return nil, &UpdateError{Update: update.Base, Base: base.Version()}
	}
	refs := maps.Clone(base.layout.refs)
	if refs == nil {
		refs = map[string]Ref{}
	}
	for _, name := range update.Removed {
		delete(refs, name)
	}
	patched := map[Hash][]byte{}
	for _, part := range update.Parts {
		object, ok := part.Patch.apply(base.objects[refs[part.Name].Hash])
		if !ok || HashOf(object) != part.Ref.Hash {
			return nil, &UpdateError{Update: update.Base, Base: base.Version(), Part: part.Name}
		}
		patched[part.Ref.Hash] = object
		refs[part.Name] = part.Ref
	}
	layout := newLayout(update.Version, refs)
	if HashOf(layout.Encoded()) != update.Layout {
		return nil, &UpdateError{Update: update.Base, Base: base.Version(), Part: "layout"}
	}
	objects := make(map[Hash][]byte, len(refs))
	for _, ref := range refs {
		object, ok := patched[ref.Hash]
		if !ok {
			object = base.objects[ref.Hash]
		}
		objects[ref.Hash] = object
	}
	return NewBundle(layout, objects), nil
}
