package quota

import (
	"encoding/json"
	"fmt"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// RecordConfig carries the fields of a [Record].
type RecordConfig struct {
	Shard int
	Seat  int
	// Epoch rises with each holder.
	Epoch int64
	// Holder is empty once the last holder has given the seat up.
	Holder  names.Instance
	Address string
	// Change tells the writes of one holder apart.
	Change int64
}

// Record is what the platform's service keeps of one seat. It is immutable.
type Record struct {
	config   RecordConfig
	revision store.Revision
}

// NewRecord returns the record described by config, as not yet written.
func NewRecord(config RecordConfig) Record { return Record{config: config} }

// Shard returns the shard that the seat belongs to.
func (record Record) Shard() int { return record.config.Shard }

// Seat returns the seat within the shard.
func (record Record) Seat() int { return record.config.Seat }

// Epoch rises with each holder.
func (record Record) Epoch() int64 { return record.config.Epoch }

// Holder is empty where nobody holds the seat.
func (record Record) Holder() names.Instance { return record.config.Holder }

// Address is where the holder serves.
func (record Record) Address() string { return record.config.Address }

// Revision is the revision of the entry that was read, or zero.
func (record Record) Revision() store.Revision { return record.revision }

// Key returns the key of the record.
func (record Record) Key() string { return recordKey(record.config.Shard, record.config.Seat) }

// next returns the record that the same holder writes next.
func (record Record) next() Record {
	config := record.config
	config.Change++
	return Record{config: config}
}

// released returns the record that gives the seat up.
func (record Record) released() Record {
	next := record.next()
	next.config.Holder, next.config.Address = "", ""
	return next
}

// withRevision returns the record as the service holds it.
func (record Record) withRevision(revision store.Revision) Record {
	return Record{config: record.config, revision: revision}
}

// sameWrite tells whether both were written by the same write.
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
