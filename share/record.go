package share

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/basilkeel/basilkeel/names"
)

// Record is the most that each instance may hold, as it is kept in the
// platform's service. A coordinator writes it before it raises a share.
type Record map[names.Instance]Set

type recordDocument struct {
	Holders map[string]map[string]float64 `json:"holders"`
}

// Encode returns the record as JSON.
func (record Record) Encode() ([]byte, error) {
	document := recordDocument{Holders: map[string]map[string]float64{}}
	for instance, set := range record {
		shares := map[string]float64{}
		for account, part := range set {
			shares[string(account)] = part
		}
		document.Holders[string(instance)] = shares
	}
	return json.Marshal(document)
}

// DecodeRecord reads what [Record.Encode] wrote. It fails with a *[RecordError].
func DecodeRecord(data []byte) (Record, error) {
	var document recordDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, &RecordError{Cause: err}
	}
	record := Record{}
	for instance, shares := range document.Holders {
		set := Set{}
		for account, part := range shares {
			set[names.ClientAccount(account)] = part
		}
		record[names.Instance(instance)] = set
	}
	return record, nil
}

// clone returns a record that shares nothing with this one.
func (record Record) clone() Record {
	result := Record{}
	for instance, set := range record {
		result[instance] = maps.Clone(set)
	}
	return result
}

// RecordError reports a record that cannot be read.
type RecordError struct {
	Cause error
}

// Error implements error.
func (recordError *RecordError) Error() string {
	return fmt.Sprintf("record of shares: %v", recordError.Cause)
}

// Unwrap returns the cause.
func (recordError *RecordError) Unwrap() error { return recordError.Cause }
