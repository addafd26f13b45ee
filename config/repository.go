package config

import (
	"context"
	"errors"
	"sync"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// maxCommitAttempts limits the attempts of one commit. Each attempt reads the
	// latest version first.
	maxCommitAttempts = 4
	// maxLoadAttempts limits the attempts of one load. A load starts again when a
	// concurrent change has deleted objects that it was reading.
	maxLoadAttempts = 4
	// lateCollectVersions is the number of versions after which the objects of a
	// version are collected a second time, to find unreferenced objects that were
	// written late or whose deletion failed.
	lateCollectVersions = 64
)

// RepositoryConfig carries what a [Repository] is built from.
type RepositoryConfig struct {
	Store store.Store
	Clock *clock.Service
}

// Repository stores the configuration in the platform's key-value store as
// immutable objects and one root entry, which is replaced by compare-and-swap.
// It is safe for concurrent use.
type Repository struct {
	config RepositoryConfig
	// mutex guards cache. No other lock is acquired while it is held.
	mutex sync.Mutex
	// cache holds the objects of the last version that was loaded or written.
	cache map[Hash][]byte
}

// NewRepository returns a repository that uses the given store.
func NewRepository(config RepositoryConfig) *Repository {
	return &Repository{config: config, cache: map[Hash][]byte{}}
}

// Root reads the root. Before the first change it is empty and has version 0.
func (repository *Repository) Root(ctx context.Context) (*Root, error) {
	entry, ok, err := repository.config.Store.Get(ctx, RootKey)
	if err != nil {
		return nil, err
	}
	if !ok {
		return &Root{}, nil
	}
	return DecodeRoot(entry)
}

// Watch waits until the root's revision is above after and returns the root. It
// returns an error if ctx ends first.
func (repository *Repository) Watch(ctx context.Context, after store.Revision) (*Root, error) {
	entries, _, err := repository.config.Store.Watch(ctx, RootKey, after)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if entry.Key() == RootKey && !entry.Deleted() {
			return DecodeRoot(entry)
		}
	}
	return &Root{}, nil
}

// Load reads the latest version of the configuration.
func (repository *Repository) Load(ctx context.Context) (*Bundle, error) {
	_, bundle, err := repository.load(ctx)
	return bundle, err
}

// load reads the latest version. It starts again if a concurrent change deletes
// objects that it is reading.
func (repository *Repository) load(ctx context.Context) (storedState, *Bundle, error) {
	var last error
	for range maxLoadAttempts {
		storedState, bundle, err := repository.tryLoad(ctx)
		var objectError *ObjectError
		if !errors.As(err, &objectError) {
			return storedState, bundle, err
		}
		last = err
	}
	return storedState{}, nil, last
}

func (repository *Repository) tryLoad(ctx context.Context) (storedState, *Bundle, error) {
	state, err := repository.readState(ctx)
	if err != nil {
		return storedState{}, nil, err
	}
	objects, err := repository.readObjects(ctx, state.layout)
	if err != nil {
		return storedState{}, nil, err
	}
	return state, NewBundle(state.layout, objects), nil
}

// readState reads the root, the layout and the history, but not the objects of
// the configuration.
func (repository *Repository) readState(ctx context.Context) (storedState, error) {
	root, err := repository.Root(ctx)
	if err != nil {
		return storedState{}, err
	}
	if root.Version() == 0 {
		return emptyStoredState(), nil
	}
	encoded, err := repository.readObject(ctx, root.layout)
	if err != nil {
		return storedState{}, err
	}
	layout, err := DecodeLayout(encoded)
	if err != nil {
		return storedState{}, err
	}
	encoded, err = repository.readObject(ctx, root.history)
	if err != nil {
		return storedState{}, err
	}
	history, err := decodeHistory(encoded)
	return storedState{root: root, layout: layout, history: history}, err
}

// readObjects returns the objects of layout. It reads only those that are not
// in the cache, and replaces the cache.
func (repository *Repository) readObjects(ctx context.Context, layout *Layout) (map[Hash][]byte, error) {
	objects := make(map[Hash][]byte, len(layout.refs))
	for _, ref := range layout.refs {
		object, ok := repository.cachedObject(ref.Hash)
		if !ok {
			read, err := repository.readObject(ctx, ref)
			if err != nil {
				return nil, err
			}
			object = read
		}
		objects[ref.Hash] = object
	}
	repository.replaceCache(objects)
	return objects, nil
}

func (repository *Repository) cachedObject(hash Hash) ([]byte, bool) {
	repository.mutex.Lock()
	defer repository.mutex.Unlock()
	object, ok := repository.cache[hash]
	return object, ok
}

func (repository *Repository) replaceCache(objects map[Hash][]byte) {
	repository.mutex.Lock()
	defer repository.mutex.Unlock()
	repository.cache = objects
}

func (repository *Repository) readObject(ctx context.Context, ref Ref) ([]byte, error) {
	entry, ok, err := repository.config.Store.Get(ctx, ref.Key())
	if err != nil {
		return nil, err
	}
	if !ok || HashOf(entry.Value()) != ref.Hash {
		return nil, &ObjectError{Ref: ref, Missing: !ok}
	}
	return entry.Value(), nil
}
