package config

import (
	"context"
	"slices"
)

// History returns up to limit records of changes, latest first. It returns only
// changes that produced a version below before, or any if before is zero.
func (repository *Repository) History(ctx context.Context, before Version, limit int) ([]Record, error) {
	storedState, err := repository.readState(ctx)
	if err != nil {
		return nil, err
	}
	var found []Record
	err = repository.walkRecords(ctx, storedState.history, func(record Record) bool {
		if before == 0 || record.Version < before {
			found = append(found, record)
		}
		return len(found) < limit
	})
	return found, err
}

// findRecord returns the record of the change with the given id.
func (repository *Repository) findRecord(ctx context.Context, history history, id ChangeID) (found Record, ok bool, err error) {
	err = repository.walkRecords(ctx, history, func(record Record) bool {
		if record.ChangeID == id {
			found, ok = record, true
		}
		return !ok
	})
	return found, ok, err
}

// walkRecords visits the records of history, latest first, until visit returns
// false.
func (repository *Repository) walkRecords(ctx context.Context, history history, visit func(Record) bool) error {
	for _, record := range slices.Backward(history.recent) {
		if !visit(record) {
			return nil
		}
	}
	for _, ref := range slices.Backward(history.pages) {
		records, err := repository.readPage(ctx, ref)
		if err != nil {
			return err
		}
		for _, record := range slices.Backward(records) {
			if !visit(record) {
				return nil
			}
		}
	}
	return nil
}

func (repository *Repository) readPage(ctx context.Context, ref Ref) ([]Record, error) {
	encoded, err := repository.readObject(ctx, ref)
	if err != nil {
		return nil, err
	}
	return decodePage(encoded)
}
