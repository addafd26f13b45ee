package share

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Record holds upper bounds of the shares of each instance, as stored in the
// platform's key-value service. A coordinator stores it before it raises a share.
type Record map[names.Instance]Holder

// Holder is what the record states of one instance.
type Holder struct {
	Shares Amounts
	// Ending reports whether the instance was silent when the record was stored. Its
	// shares have ended when Left has passed since then, and a process that restarts has
	// none.
	Ending bool
	Left   time.Duration
}

// Aged returns the record as of a time that is later by age. Coordinators hand on how
// long shares last as a duration, as their clocks may differ.
func (record Record) Aged(age time.Duration) Record {
	result := record.clone()
	for instance, holder := range result {
		holder.Left = max(holder.Left-max(age, 0), 0)
		result[instance] = holder
	}
	return result
}

type recordDocument struct {
	Holders map[string]map[string]float64 `json:"holders"`
	// Endings maps the instances whose shares end to the milliseconds that are left.
	Endings map[string]int64 `json:"endings,omitempty"`
}

// Encode returns the record as JSON.
func (record Record) Encode() ([]byte, error) {
	document := recordDocument{Holders: map[string]map[string]float64{}, Endings: map[string]int64{}}
	for instance, holder := range record {
		shares := map[string]float64{}
		for account, part := range holder.Shares {
			shares[string(account)] = part
		}
		document.Holders[string(instance)] = shares
		if holder.Ending {
			// Rounded up, so that no share is counted too short.
			document.Endings[string(instance)] = (holder.Left + time.Millisecond - 1).Milliseconds()
		}
	}
	return json.Marshal(document)
}

// maxLeft bounds how long ending shares last.
const maxLeft = Lifetime + restartLifetime

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
		holder := Holder{Shares: amounts}
		if left, ending := document.Endings[instance]; ending {
			if left < 0 || left > maxLeft.Milliseconds() {
				return nil, &RecordError{Cause: fmt.Errorf("shares of instance %q end in %d ms", instance, left)}
			}
			holder.Ending, holder.Left = true, time.Duration(left)*time.Millisecond
		}
		record[names.Instance(instance)] = holder
	}
	return record, nil
}

// clone returns a deep copy.
func (record Record) clone() Record {
	result := Record{}
	for instance, holder := range record {
		holder.Shares = maps.Clone(holder.Shares)
		result[instance] = holder
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
