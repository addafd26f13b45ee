package quota

import (
	"encoding/json"
	"fmt"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// RecordConfig holds the fields of a [Record].
type RecordConfig struct {
	Shard int
	Seat  int
	// Epoch increases with each holder.
	Epoch int64
	// Holder is empty if the seat was released or never held.
	Holder  names.Instance
	Address string
	// Change distinguishes the writes of one holder.
	Change int64
}

// Record is the stored state of one seat in the platform's service. It is
// immutable.
type Record struct {
	config   RecordConfig
	revision store.Revision
}

// NewRecord returns the record described by config, without a revision.
func NewRecord(config RecordConfig) Record { return Record{config: config} }

// Shard returns the shard that the seat belongs to.
func (record Record) Shard() int { return record.config.Shard }

// Seat returns the seat within the shard.
func (record Record) Seat() int { return record.config.Seat }

// Epoch returns the holder's epoch, which increases with each holder.
func (record Record) Epoch() int64 { return record.config.Epoch }

// Holder returns the seat's holder, or "" if there is none.
func (record Record) Holder() names.Instance { return record.config.Holder }

// Address returns the address that the holder serves at.
func (record Record) Address() string { return record.config.Address }

// Revision returns the revision at which the record was read or written, or zero.
func (record Record) Revision() store.Revision { return record.revision }

// Key returns the record's key in the platform's service.
func (record Record) Key() string { return recordKey(record.config.Shard, record.config.Seat) }

// next returns the record that the same holder writes to renew its lease.
func (record Record) next() Record {
	config := record.config
	config.Change++
	return Record{config: config}
}

// released returns the record that releases the seat.
func (record Record) released() Record {
	next := record.next()
	next.config.Holder, next.config.Address = "", ""
	return next
}

// withRevision returns the record as stored at revision.
func (record Record) withRevision(revision store.Revision) Record {
	return Record{config: record.config, revision: revision}
}

// sameWrite reports whether both records stem from the same write.
func (record Record) sameWrite(other Record) bool { return record.config == other.config }

func shardPrefix(shard int) string { return fmt.Sprintf("quota/%02d/", shard) }

func recordKey(shard, seat int) string { return fmt.Sprintf("%s%d", shardPrefix(shard), seat) }

// recordJSON is the stored form of a [Record].
type recordJSON struct {
	Shard   int    `json:"shard"`
	Seat    int    `json:"seat"`
	Epoch   int64  `json:"epoch"`
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Change  int64  `json:"change"`
}

func encodeRecord(record Record) ([]byte, error) {
	return json.Marshal(recordJSON{
		Shard:   record.config.Shard,
		Seat:    record.config.Seat,
		Epoch:   record.config.Epoch,
		Holder:  string(record.config.Holder),
		Address: record.config.Address,
		Change:  record.config.Change,
	})
}

func decodeRecord(entry store.Entry) (Record, error) {
	var decoded recordJSON
	if err := json.Unmarshal(entry.Value(), &decoded); err != nil {
		return Record{}, &RecordError{Key: entry.Key(), Cause: err}
	}
	record := Record{
		config: RecordConfig{
			Shard:   decoded.Shard,
			Seat:    decoded.Seat,
			Epoch:   decoded.Epoch,
			Holder:  names.Instance(decoded.Holder),
			Address: decoded.Address,
			Change:  decoded.Change,
		},
		revision: entry.Revision(),
	}
	if record.Key() != entry.Key() {
		return Record{}, &RecordError{Key: entry.Key()}
	}
	return record, nil
}
