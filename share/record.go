package share

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/basilkeel/basilkeel/names"
)

// Record holds upper bounds of the shares of each instance, as stored in the
// platform's key-value service. A coordinator stores it before it raises a share.
type Record map[names.Instance]Amounts

type recordDocument struct {
	Holders map[string]map[string]float64 `json:"holders"`
}

// Encode returns the record as JSON.
func (record Record) Encode() ([]byte, error) {
	document := recordDocument{Holders: map[string]map[string]float64{}}
	for instance, amounts := range record {
		shares := map[string]float64{}
		for account, part := range amounts {
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
		amounts := Amounts{}
		for account, part := range shares {
			if part < 0 || part > 1 {
				return nil, &RecordError{Cause: fmt.Errorf("share %v of account %q at instance %q is not between 0 and 1", part, account, instance)}
			}
			amounts[names.ClientAccount(account)] = part
		}
		record[names.Instance(instance)] = amounts
	}
	return record, nil
}

// clone returns a deep copy.
func (record Record) clone() Record {
	result := Record{}
	for instance, amounts := range record {
		result[instance] = maps.Clone(amounts)
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
