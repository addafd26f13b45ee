package claim

import (
	"context"
	"errors"

	"github.com/basilkeel/basilkeel/store"
)

// maxSegmentGets is how many sealed segments are read one by one. To read more,
// all segments of the shard are listed.
const maxSegmentGets = 4

// errSegmentMissing is the cause if a segment to which the head refers
// doesn't exist.
var errSegmentMissing = errors.New("segment is missing")

// load carries out a [Load] for one shard.
func load(ctx context.Context, service store.Store, shard int, from int64) (Loaded, error) {
	key := headKey(shard)
	entry, found, err := service.Get(ctx, key)
	if err != nil {
		return Loaded{}, err
	}
	loaded := Loaded{}
	if found {
		loaded.Revision = entry.Revision()
		if loaded.head, err = decodeHead(key, entry.Value()); err != nil {
			return Loaded{}, err
		}
	}
	from = max(from, loaded.head.first)
	if loaded.head.sealed-from > maxSegmentGets {
		loaded.segments, err = listSegments(ctx, service, shard, from)
	} else {
		loaded.segments, err = getSegments(ctx, service, shard, from, loaded.head.sealed)
	}
	if err != nil {
		return Loaded{}, err
	}
	for number := from; number < loaded.head.sealed; number++ {
		if _, ok := loaded.segments[number]; !ok {
			return Loaded{}, &FormatError{Key: segmentKey(shard, number), Cause: errSegmentMissing}
		}
	}
	return loaded, nil
}

// getSegments reads the segments numbered from up to and including last, as far
// as they exist.
func getSegments(
	ctx context.Context, service store.Store, shard int, from, last int64,
) (map[int64][]Record, error) {
	segments := map[int64][]Record{}
	for number := from; number <= last; number++ {
		entry, found, err := service.Get(ctx, segmentKey(shard, number))
		if err != nil {
			return nil, err
		}
		if !found {
			continue
		}
		if segments[number], err = decodeSegment(entry.Key(), entry.Value()); err != nil {
			return nil, err
		}
	}
	return segments, nil
}

func listSegments(
	ctx context.Context, service store.Store, shard int, from int64,
) (map[int64][]Record, error) {
	entries, err := service.List(ctx, segmentPrefix(shard))
	if err != nil {
		return nil, err
	}
	segments := map[int64][]Record{}
	for _, entry := range entries {
		number, ok := segmentNumber(shard, entry.Key())
		if !ok || number < from {
			continue
		}
		if segments[number], err = decodeSegment(entry.Key(), entry.Value()); err != nil {
			return nil, err
		}
	}
	return segments, nil
}
