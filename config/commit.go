package config

import (
	"context"
	"errors"
	"slices"

	"github.com/basilkeel/basilkeel/store"
)

// DryRun returns the snapshots before and after change without committing it.
func (repository *Repository) DryRun(ctx context.Context, change Change) (before, after *Snapshot, err error) {
	storedState, bundle, err := repository.load(ctx)
	if err != nil {
		return nil, nil, err
	}
	before, err = bundle.Snapshot()
	if err != nil {
		return nil, nil, err
	}
	after, err = Apply(before, storedState.root.Last(), change)
	return before, after, err
}

// Commit applies change, stores the new version and returns the record of the
// change. A change whose ID was accepted before is not applied again; Commit
// returns its existing record. Errors are those of [Apply] and of the store. A
// *[store.UnknownError] means that the change may have taken effect; the caller
// must send it again with the same ID.
func (repository *Repository) Commit(ctx context.Context, change Change) (Record, error) {
	uncertain := false
	var last error
	for range maxCommitAttempts {
		record, err := repository.tryCommit(ctx, change)
		var conflict *store.ConflictError
		var unknown *store.UnknownError
		var object *ObjectError
		switch {
		case err == nil:
			return record, nil
		case errors.As(err, &unknown):
			uncertain = true
		case errors.As(err, &conflict), errors.As(err, &object):
			// Another change was accepted concurrently. Retry on top of its root.
		case uncertain && isOutage(err):
			return Record{}, &store.UnknownError{Operation: "commit " + string(change.ID), Cause: err}
		default:
			return Record{}, err
		}
		last = err
	}
	if uncertain {
		return Record{}, &store.UnknownError{Operation: "commit " + string(change.ID), Cause: last}
	}
	return Record{}, &store.UnavailableError{Operation: "commit " + string(change.ID), Cause: last}
}

// isOutage reports whether err means that the store was not reached, so that
// the outcome of an earlier attempt remains unknown.
func isOutage(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// tryCommit reads the latest version, looks for the change in the history and
// tries once to replace the root.
func (repository *Repository) tryCommit(ctx context.Context, change Change) (Record, error) {
	storedState, bundle, err := repository.load(ctx)
	if err != nil {
		return Record{}, err
	}
	record, accepted, err := repository.findAccepted(ctx, storedState, change)
	if err != nil || accepted {
		return record, err
	}
	before, err := bundle.Snapshot()
	if err != nil {
		return Record{}, err
	}
	after, err := Apply(before, storedState.root.Last(), change)
	if err != nil {
		return Record{}, err
	}
	record = newRecord(change, after.Version(), repository.config.Clock.Now())
	next, err := repository.writeState(ctx, storedState, after, record)
	if err != nil {
		return Record{}, err
	}
	if err := repository.swapRoot(ctx, storedState.root, next.root); err != nil {
		return Record{}, err
	}
	repository.collectGarbage(ctx, storedState, next)
	return record, nil
}

// findAccepted returns the record of change if it was accepted before. It
// returns a *[ValidationError] if the ID was accepted with other edits.
func (repository *Repository) findAccepted(ctx context.Context, storedState storedState, change Change) (Record, bool, error) {
	searched := storedState.history
	if change.Expected >= storedState.root.Version() {
		// An accepted change expected a version below the latest. A change that
		// expects the latest can only have been accepted before if its author
		// raised the expected version when sending it again. Authors do so soon
		// after the first attempt, so the recent records suffice.
		searched.pages = nil
	}
	record, ok, err := repository.findRecord(ctx, searched, change.ID)
	if err != nil || !ok {
		return Record{}, false, err
	}
	if record.Digest != digestOf(change) {
		fault := Fault{Path: "changeId", Problem: "was used for other edits"}
		return Record{}, false, &ValidationError{Faults: []Fault{fault}}
	}
	return record, true, nil
}

// writeState stores the objects of the next version that are not stored yet,
// all but the root, and returns the next state.
func (repository *Repository) writeState(ctx context.Context, current storedState, snapshot *Snapshot, record Record) (storedState, error) {
	version := snapshot.Version()
	split, objects := Split(snapshot)
	refs := map[string]Ref{}
	for name, part := range split.refs {
		ref, err := repository.putObject(ctx, current.layout.refs[name], version, objects[part.Hash])
		if err != nil {
			return storedState{}, err
		}
		refs[name] = ref
	}
	repository.replaceCache(objects)
	history, err := repository.moveToPage(ctx, current.history.withRecord(record), version)
	if err != nil {
		return storedState{}, err
	}
	layout := newLayout(version, refs)
	root := &Root{version: version, last: record}
	if root.layout, err = repository.putObject(ctx, Ref{}, version, layout.Encoded()); err != nil {
		return storedState{}, err
	}
	if root.history, err = repository.putObject(ctx, Ref{}, version, history.encode()); err != nil {
		return storedState{}, err
	}
	return storedState{root: root, layout: layout, history: history}, nil
}

// moveToPage moves the oldest recent records to the last page, or to a new page
// if that one is full. It does nothing while there are at most maxRecent.
func (repository *Repository) moveToPage(ctx context.Context, current history, version Version) (history, error) {
	if len(current.recent) <= maxRecent {
		return current, nil
	}
	older := slices.Clone(current.recent[:maxRecent/2])
	current.recent = slices.Clone(current.recent[maxRecent/2:])
	current.pages = slices.Clone(current.pages)
	if count := len(current.pages); count > 0 {
		records, err := repository.readPage(ctx, current.pages[count-1])
		if err != nil {
			return history{}, err
		}
		if len(records)+len(older) <= maxPageRecords {
			older = append(records, older...)
			current.pages = current.pages[:count-1]
		}
	}
	ref, err := repository.putObject(ctx, Ref{}, version, encodePage(older))
	if err != nil {
		return history{}, err
	}
	current.pages = append(current.pages, ref)
	if len(current.pages) > maxPages {
		current.pages = current.pages[1:]
	}
	return current, nil
}

// putObject stores content as an object of version and returns a reference to
// it. If current already refers to the same content, it returns current.
func (repository *Repository) putObject(ctx context.Context, current Ref, version Version, content []byte) (Ref, error) {
	ref := Ref{Hash: HashOf(content), Version: version}
	if current.Hash == ref.Hash {
		return current, nil
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
	// Either an earlier attempt wrote the object, or the answer to this write was
	// lost. Read the entry to find out.
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

// swapRoot replaces the root entry by next, unless it has changed since root was
// read.
func (repository *Repository) swapRoot(ctx context.Context, root, next *Root) error {
	_, err := repository.config.Store.Swap(ctx, store.Swap{Key: RootKey, Expected: root.revision, Value: next.encode()})
	return err
}

// collectGarbage deletes the objects to which the previous state refers and the
// next one does not, and the objects that attempts of other changes wrote for
// the next version. Both can be deleted immediately: a later root refers to an
// object written for the next version, or an earlier one, only if the next root
// does. Objects that remain after a failure are collected again
// lateCollectVersions versions later.
func (repository *Repository) collectGarbage(ctx context.Context, previous, next storedState) {
	referenced := next.objectKeys()
	for _, ref := range previous.refs() {
		if ref.Hash != "" && !referenced[ref.Key()] {
			repository.deleteObject(ctx, ref.Key(), ref.Revision)
		}
	}
	repository.collectVersion(ctx, referenced, next.root.Version())
	if late := next.root.Version() - lateCollectVersions; late > 0 {
		repository.collectVersion(ctx, referenced, late)
	}
}

// collectVersion deletes the unreferenced objects that were written for version.
func (repository *Repository) collectVersion(ctx context.Context, referenced map[string]bool, version Version) {
	entries, err := repository.config.Store.List(ctx, objectPrefix(version))
	if err != nil {
		return
	}
	for _, entry := range entries {
		if !referenced[entry.Key()] {
			repository.deleteObject(ctx, entry.Key(), entry.Revision())
		}
	}
}

// deleteObject deletes an object. It ignores failures; see [Repository.collectGarbage].
func (repository *Repository) deleteObject(ctx context.Context, key string, revision store.Revision) {
	_ = repository.config.Store.Delete(ctx, key, revision)
}
