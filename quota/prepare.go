package quota

import (
	"context"
	"errors"

	"github.com/basilkeel/basilkeel/store"
)

// CreateSeats writes the records of seats that were never held, so that the
// first holders of a new fleet need not wait for leases that might exist. It
// does not change existing records. Call it only before the first instance of a
// fleet starts.
func CreateSeats(ctx context.Context, service store.Store) error {
	for shard := range Shards {
		for seat := range Seats {
			record := NewRecord(RecordConfig{Shard: shard, Seat: seat})
			value, err := encodeRecord(record)
			if err != nil {
				return err
			}
			_, err = service.Swap(ctx, store.Swap{Key: record.Key(), Value: value})
			var conflictError *store.ConflictError
			if err != nil && !errors.As(err, &conflictError) {
				return err
			}
		}
	}
	return nil
}
