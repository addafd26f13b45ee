package config

import (
	"context"
	"errors"
	"slices"

	"github.com/basilkeel/basilkeel/store"
)

// DryRun returns the snapshots before and after change without making it.
func (repository *Repository) DryRun(ctx context.Context, change Change) (before, after *Snapshot, err error) {
	state, bundle, err := repository.load(ctx)
	if err != nil {
		return nil, nil, err
	}
	before, err = bundle.Snapshot()
	if err != nil {
		return nil, nil, err
	}
	after, err = Apply(before, state.root.Last(), change)
	return before, after, err
}

// Commit makes change and returns its record. A change whose id was accepted
// before is not made again; its record is returned. The error is one of those
// of [Apply], or of the store: a *[store.UnknownError] means that the change
// may take effect and is to be sent again under the same id.
func (repository *Repository) Commit(ctx context.Context, change Change) (Record, error) {
	unsure := false
	var last error
	for range commitAttempts {
		record, err := repository.attempt(ctx, change)
		var conflict *store.ConflictError
		var unknown *store.UnknownError
		var object *ObjectError
		switch {
		case err == nil:
			return record, nil
		case errors.As(err, &unknown):
			unsure = true
		case errors.As(err, &conflict), errors.As(err, &object):
			// Another change was accepted meanwhile: judge again by its root.
		case unsure && isOutage(err):
			return Record{}, &store.UnknownError{Operation: "commit " + string(change.ID), Cause: err}
		default:
			return Record{}, err
		}
		last = err
	}
	if unsure {
		return Record{}, &store.UnknownError{Operation: "commit " + string(change.ID), Cause: last}
	}
	return Record{}, &store.UnavailableError{Operation: "commit " + string(change.ID), Cause: last}
}

func isOutage(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// attempt reads the latest version, looks for the change in the history and
// tries to move the root once.
func (repository *Repository) attempt(ctx context.Context, change Change) (Record, error) {
	state, bundle, err := repository.load(ctx)
	if err != nil {
		return Record{}, err
	}
	record, accepted, err := repository.accepted(ctx, state, change)
	if err != nil || accepted {
		return record, err
	}
	before, err := bundle.Snapshot()
	if err != nil {
		return Record{}, err
	}
	after, err := Apply(before, state.root.Last(), change)
	if err != nil {
		return Record{}, err
	}
	record = newRecord(change, after.Version(), repository.config.Clock.Now())
	next, err := repository.write(ctx, state, after, record)
	if err != nil {
		return Record{}, err
	}
	if err := repository.move(ctx, state.root, next.root); err != nil {
		return Record{}, err
	}
	repository.collect(ctx, state, next)
	return record, nil
}

// accepted returns the record of change where it was accepted before.
func (repository *Repository) accepted(ctx context.Context, state state, change Change) (Record, bool, error) {
	past := state.history
	if change.Expected >= state.root.Version() {
		// A change made for the latest version is accepted already only where its
		// author gave it a later version on a repeat; that is recent.
		past.pages = nil
	}
	record, ok, err := repository.find(ctx, past, change.ID)
	if err != nil || !ok {
		return Record{}, false, err
	}
	if record.Digest != digest(change) {
		fault := Fault{Path: "changeId", Problem: "was used for other edits"}
		return Record{}, false, &ValidationError{Faults: []Fault{fault}}
	}
	return record, true, nil
}

// write stores the objects of snapshot that are not stored yet and returns the
// next state.
func (repository *Repository) write(ctx context.Context, present state, snapshot *Snapshot, record Record) (state, error) {
	version := snapshot.Version()
	split, objects := Split(snapshot)
	refs := map[string]Ref{}
	for name, part := range split.refs {
		ref, err := repository.putObject(ctx, present.layout.refs[name], version, objects[part.Hash])
		if err != nil {
			return state{}, err
		}
		refs[name] = ref
	}
	repository.hold(objects)
	history, err := repository.turnPage(ctx, present.history.with(record), version)
	if err != nil {
		return state{}, err
	}
	layout := newLayout(version, refs)
	root := &Root{version: version, last: record}
	if root.layout, err = repository.putObject(ctx, Ref{}, version, layout.Encoded()); err != nil {
		return state{}, err
	}
	if root.history, err = repository.putObject(ctx, Ref{}, version, history.encode()); err != nil {
		return state{}, err
	}
	return state{root: root, layout: layout, history: history}, nil
}

// turnPage moves the older half of a full list of recent records to the last
// page, or to a new one once that is full.
func (repository *Repository) turnPage(ctx context.Context, turned history, version Version) (history, error) {
	if len(turned.recent) <= maxRecent {
		return turned, nil
	}
	older := slices.Clone(turned.recent[:maxRecent/2])
	turned.recent = slices.Clone(turned.recent[maxRecent/2:])
	turned.pages = slices.Clone(turned.pages)
	if count := len(turned.pages); count > 0 {
		records, err := repository.page(ctx, turned.pages[count-1])
		if err != nil {
			return history{}, err
		}
		if len(records)+len(older) <= maxPageRecords {
			older = append(records, older...)
			turned.pages = turned.pages[:count-1]
		}
	}
	ref, err := repository.putObject(ctx, Ref{}, version, encodePage(older))
	if err != nil {
		return history{}, err
	}
	turned.pages = append(turned.pages, ref)
	if len(turned.pages) > maxPages {
		turned.pages = turned.pages[1:]
	}
	return turned, nil
}

// putObject stores content for version, or returns present where that already
// leads to it.
func (repository *Repository) putObject(ctx context.Context, present Ref, version Version, content []byte) (Ref, error) {
	ref := Ref{Hash: HashOf(content), Version: version}
	if present.Hash == ref.Hash {
		return present, nil
	}
	if len(content) > store.MaxValueBytes {
		return Ref{}, &store.SizeError{Key: ref.Key(), Bytes: len(content)}
	}
	revision, err := repository.config.Store.Swap(ctx, store.Swap{Key: ref.Key(), Value: content})
	if err == nil {
		ref.Revision = revision
		return ref, nil
	}
	var conflict *store.ConflictError
	var unknown *store.UnknownError
	if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
		return Ref{}, err
	}
	// An earlier attempt of the same change wrote it, or the answer was lost.
	entry, ok, getErr := repository.config.Store.Get(ctx, ref.Key())
	if getErr != nil {
		return Ref{}, getErr
	}
	if !ok {
		return Ref{}, err
	}
	ref.Revision = entry.Revision()
	return ref, nil
}

// move swaps the root entry.
func (repository *Repository) move(ctx context.Context, root, next *Root) error {
	_, err := repository.config.Store.Swap(ctx, store.Swap{Key: RootKey, Expected: root.revision, Value: next.encode()})
	return err
}

// collect deletes the objects that only the former root led to, and those that
// attempts of other changes left behind. Both are safe at once: an object
// written for a version up to that of the root can be referred to by no later
// root unless the root itself leads to it. What a failure leaves over is found
// again collectLag versions later.
func (repository *Repository) collect(ctx context.Context, former, next state) {
	keep := next.objectKeys()
	for _, ref := range former.refs() {
		if ref.Hash != "" && !keep[ref.Key()] {
			repository.drop(ctx, ref.Key(), ref.Revision)
		}
	}
	repository.collectVersion(ctx, keep, next.root.Version())
	if late := next.root.Version() - collectLag; late > 0 {
		repository.collectVersion(ctx, keep, late)
	}
}

func (repository *Repository) collectVersion(ctx context.Context, keep map[string]bool, version Version) {
	entries, err := repository.config.Store.List(ctx, objectPrefix(version))
	if err != nil {
		return
	}
	for _, entry := range entries {
		if !keep[entry.Key()] {
			repository.drop(ctx, entry.Key(), entry.Revision())
		}
	}
}

// drop deletes an object; a failure leaves it for a later collection.
func (repository *Repository) drop(ctx context.Context, key string, revision store.Revision) {
	_ = repository.config.Store.Delete(ctx, key, revision)
}
