package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/basilkeel/basilkeel/store"
)

// Ref refers to an immutable stored object.
type Ref struct {
	Hash Hash
	// Version is the configuration version that the object was written for. Only
	// a root of this version can be the first to refer to the object.
	Version Version
	// Revision is the revision of the store entry that holds the object.
	Revision store.Revision
}

// Key returns the key of the store entry that holds the object.
func (ref Ref) Key() string { return objectPrefix(ref.Version) + string(ref.Hash) }

func objectPrefix(version Version) string { return fmt.Sprintf("config/object/%016d/", version) }

// String returns the form used in stored layouts, histories and roots.
func (ref Ref) String() string { return fmt.Sprintf("%s.%d.%d", ref.Hash, ref.Version, ref.Revision) }

func parseRef(text string) (Ref, error) {
	fields := strings.Split(text, ".")
	if len(fields) != 3 {
		return Ref{}, &CodecError{Cause: errRefFormat}
	}
	version, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Ref{}, &CodecError{Cause: err}
	}
	revision, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return Ref{}, &CodecError{Cause: err}
	}
	return Ref{Hash: Hash(fields[0]), Version: Version(version), Revision: store.Revision(revision)}, nil
}
