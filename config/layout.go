package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// layoutFormat is the version of the stored format. A program neither reads nor
// changes a configuration stored in a newer format.
const layoutFormat = 1

// Layout lists the stored objects that make up one version of the
// configuration, by shard name. It is immutable.
type Layout struct {
	version Version
	refs    map[string]Ref
	encoded []byte
}

// layoutDocument is the JSON form of a [Layout].
type layoutDocument struct {
	Format  int               `json:"format"`
	Version Version           `json:"version"`
	Refs    map[string]string `json:"refs,omitempty"`
}

func newLayout(version Version, refs map[string]Ref) *Layout {
	document := layoutDocument{Format: layoutFormat, Version: version, Refs: make(map[string]string, len(refs))}
	for name, ref := range refs {
		document.Refs[name] = ref.String()
	}
	return &Layout{version: version, refs: refs, encoded: mustMarshal(document)}
}

// DecodeLayout decodes a layout. It returns a *[CodecError] if encoded is
// malformed or in a newer format.
func DecodeLayout(encoded []byte) (*Layout, error) {
	var document layoutDocument
	if err := json.Unmarshal(encoded, &document); err != nil {
		return nil, &CodecError{Cause: err}
	}
	if document.Format > layoutFormat {
		return nil, &CodecError{Cause: errNewerFormat}
	}
	layout := &Layout{version: document.Version, refs: make(map[string]Ref, len(document.Refs)), encoded: encoded}
	for name, text := range document.Refs {
		ref, err := parseRef(text)
		if err != nil {
			return nil, err
		}
		layout.refs[name] = ref
	}
	return layout, nil
}

// Version returns the version of the configuration.
func (layout *Layout) Version() Version { return layout.version }

// Encoded returns the layout's JSON form. The caller must not change it.
func (layout *Layout) Encoded() []byte { return layout.encoded }

// Refs returns references to the objects of the configuration, sorted by hash.
func (layout *Layout) Refs() []Ref {
	refs := slices.Collect(maps.Values(layout.refs))
	slices.SortFunc(refs, func(a, b Ref) int { return strings.Compare(string(a.Hash), string(b.Hash)) })
	return refs
}

// Assemble decodes the objects of the layout and returns the snapshot that they
// make up. It returns an *[ObjectError] if an object is missing or altered, and
// a *[CodecError] if one is malformed.
func (layout *Layout) Assemble(objects map[Hash][]byte) (*Snapshot, error) {
	var whole document
	for _, name := range slices.Sorted(maps.Keys(layout.refs)) {
		ref := layout.refs[name]
		object, ok := objects[ref.Hash]
		if !ok || HashOf(object) != ref.Hash {
			return nil, &ObjectError{Ref: ref, Missing: !ok}
		}
		if err := appendShard(&whole, object); err != nil {
			return nil, err
		}
	}
	whole.Version = layout.version
	return newDraft(whole.decode()).snapshot(layout.version), nil
}

// appendShard adds the parts of an encoded shard to whole. It ignores unknown
// fields, so that instances of two releases can run side by side.
func appendShard(whole *document, encoded []byte) error {
	var shard document
	if err := json.Unmarshal(encoded, &shard); err != nil {
		return &CodecError{Cause: err}
	}
	whole.Accounts = append(whole.Accounts, shard.Accounts...)
	whole.Keys = append(whole.Keys, shard.Keys...)
	whole.Models = append(whole.Models, shard.Models...)
	whole.Routes = append(whole.Routes, shard.Routes...)
	whole.Objectives = append(whole.Objectives, shard.Objectives...)
	whole.SigningKeys = append(whole.SigningKeys, shard.SigningKeys...)
	return nil
}

// Split returns the layout and the objects of snapshot. The objects are not
// stored yet, so their references have no revision.
func Split(snapshot *Snapshot) (*Layout, map[Hash][]byte) {
	refs := map[string]Ref{}
	objects := map[Hash][]byte{}
	for name, part := range shards(snapshot) {
		object := encodeShard(part)
		ref := Ref{Hash: HashOf(object), Version: snapshot.Version()}
		refs[name.String()] = ref
		objects[ref.Hash] = object
	}
	return newLayout(snapshot.Version(), refs), objects
}
