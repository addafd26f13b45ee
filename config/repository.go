package config

import (
	"context"
	"errors"
	"sync"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// commitAttempts bounds how often one commit reads back and tries again.
	commitAttempts = 4
	// loadAttempts bounds how often a load starts again because a change
	// replaced the objects that it was reading.
	loadAttempts = 4
	// collectLag is how many versions after its own a late orphan is looked
	// for once more.
	collectLag = 64
)

// RepositoryConfig carries what a [Repository] is built from.
type RepositoryConfig struct {
	Store store.Store
	Clock *clock.Service
}

// Repository keeps the configuration in the platform's service: immutable
// objects and one root that moves by compare-and-swap. It is safe for
// concurrent use.
type Repository struct {
	config RepositoryConfig
	// mutex guards objects. No other lock is taken under it.
	mutex sync.Mutex
	// objects holds the objects of the last version that was loaded or made.
	objects map[Hash][]byte
}

// NewRepository returns a repository over a store.
func NewRepository(config RepositoryConfig) *Repository {
	return &Repository{config: config, objects: map[Hash][]byte{}}
}

// Root reads the root. Before the first change it is empty, of version 0.
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

// Watch returns the root once its revision is above that of after, or an error
// when ctx ends.
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

// Load returns the latest version.
func (repository *Repository) Load(ctx context.Context) (*Bundle, error) {
	_, bundle, err := repository.load(ctx)
	return bundle, err
}

// load reads the latest version. Where a change replaces the objects
// meanwhile, it starts again.
func (repository *Repository) load(ctx context.Context) (state, *Bundle, error) {
	var last error
	for range loadAttempts {
		state, bundle, err := repository.tryLoad(ctx)
		var objectError *ObjectError
		if !errors.As(err, &objectError) {
			return state, bundle, err
		}
		last = err
	}
	return state{}, nil, last
}

func (repository *Repository) tryLoad(ctx context.Context) (state, *Bundle, error) {
	latest, err := repository.state(ctx)
	if err != nil {
		return state{}, nil, err
	}
	objects, err := repository.objectsOf(ctx, latest.layout)
	if err != nil {
		return state{}, nil, err
	}
	return latest, NewBundle(latest.layout, objects), nil
}

// state reads all but the objects of the configuration.
func (repository *Repository) state(ctx context.Context) (state, error) {
	root, err := repository.Root(ctx)
	if err != nil {
		return state{}, err
	}
	if root.Version() == 0 {
		return emptyState(), nil
	}
	encoded, err := repository.object(ctx, root.layout)
	if err != nil {
		return state{}, err
	}
	layout, err := DecodeLayout(encoded)
	if err != nil {
		return state{}, err
	}
	encoded, err = repository.object(ctx, root.history)
	if err != nil {
		return state{}, err
	}
	history, err := decodeHistory(encoded)
	return state{root: root, layout: layout, history: history}, err
}

// objectsOf returns the objects of layout, reading only those that the last
// call did not.
func (repository *Repository) objectsOf(ctx context.Context, layout *Layout) (map[Hash][]byte, error) {
	objects := make(map[Hash][]byte, len(layout.refs))
	for _, ref := range layout.refs {
		object, ok := repository.held(ref.Hash)
		if !ok {
			read, err := repository.object(ctx, ref)
			if err != nil {
				return nil, err
			}
			object = read
		}
		objects[ref.Hash] = object
	}
	repository.hold(objects)
	return objects, nil
}

func (repository *Repository) held(hash Hash) ([]byte, bool) {
	repository.mutex.Lock()
	defer repository.mutex.Unlock()
	object, ok := repository.objects[hash]
	return object, ok
}

func (repository *Repository) hold(objects map[Hash][]byte) {
	repository.mutex.Lock()
	defer repository.mutex.Unlock()
	repository.objects = objects
}

func (repository *Repository) object(ctx context.Context, ref Ref) ([]byte, error) {
	entry, ok, err := repository.config.Store.Get(ctx, ref.Key())
	if err != nil {
		return nil, err
	}
	if !ok || HashOf(entry.Value()) != ref.Hash {
		return nil, &ObjectError{Ref: ref, Missing: !ok}
	}
	return entry.Value(), nil
}
