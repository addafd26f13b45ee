package config

import (
	"encoding/json"

	"github.com/basilkeel/basilkeel/store"
)

// RootKey is the key of the root entry in the platform's key-value store, the
// only entry that is overwritten when a change is accepted.
const RootKey = "config/root"

// Root is the content of the root entry: the version, the last change, and
// references to the layout and the history. It is kept small because instances
// that relay the configuration read it continually. It is immutable.
type Root struct {
	version Version
	// last is the record of the latest change. Its summary is not stored.
	last Record
	// layout and history refer to the stored objects of that name; both are empty
	// before the first change.
	layout  Ref
	history Ref
	// revision is the revision of the root entry, or zero if there is none.
	revision store.Revision
}

// rootDocument is the JSON form of a [Root].
type rootDocument struct {
	Format  int            `json:"format"`
	Version Version        `json:"version"`
	Last    recordDocument `json:"last"`
	Layout  string         `json:"layout"`
	History string         `json:"history"`
}

func (root *Root) encode() []byte {
	last := encodeRecord(root.last)
	last.Summary = nil
	return mustMarshal(rootDocument{
		Format:  layoutFormat,
		Version: root.version,
		Last:    last,
		Layout:  root.layout.String(),
		History: root.history.String(),
	})
}

// DecodeRoot decodes the root in entry. It returns a *[CodecError] if the value
// is malformed or in a newer format.
func DecodeRoot(entry store.Entry) (*Root, error) {
	var document rootDocument
	if err := json.Unmarshal(entry.Value(), &document); err != nil {
		return nil, &CodecError{Cause: err}
	}
	if document.Format > layoutFormat {
		return nil, &CodecError{Cause: errNewerFormat}
	}
	layout, err := parseRef(document.Layout)
	if err != nil {
		return nil, err
	}
	history, err := parseRef(document.History)
	if err != nil {
		return nil, err
	}
	return &Root{
		version:  document.Version,
		last:     document.Last.decode(),
		layout:   layout,
		history:  history,
		revision: entry.Revision(),
	}, nil
}

// Version returns the version of the configuration.
func (root *Root) Version() Version { return root.version }

// Last returns the record of the latest change, without its summary. It is
// empty before the first change.
func (root *Root) Last() Record { return root.last }

// Revision returns the revision of the root entry.
func (root *Root) Revision() store.Revision { return root.revision }
