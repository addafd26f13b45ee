package crash

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Record holds the suspicions that are stored in the platform's service, so that a
// quarantine survives when all entries end at once.
type Record struct{ suspicions []Suspicion }

// Suspicions returns the suspicions of the record.
func (record Record) Suspicions() []Suspicion { return record.suspicions }

// recordDocument is the JSON form of a [Record]. Fingerprints are hexadecimal, because
// JSON numbers do not hold 64 bits.
type recordDocument struct {
	Suspicions []suspicionDocument `json:"sightings"`
}

type suspicionDocument struct {
	Fingerprint string `json:"fingerprint"`
	Part        bool   `json:"part,omitempty"`
	Server      string `json:"server"`
	// At is in Unix milliseconds.
	At    int64 `json:"at"`
	Probe bool  `json:"probe,omitempty"`
}

// Encode returns the record as JSON.
func (record Record) Encode() ([]byte, error) {
	document := recordDocument{Suspicions: []suspicionDocument{}}
	for _, suspicion := range record.suspicions {
		document.Suspicions = append(document.Suspicions, suspicionDocument{
			Fingerprint: suspicion.Fingerprint.String(), Part: suspicion.Part, Server: suspicion.Server, At: suspicion.At.UnixMilli(), Probe: suspicion.Probe,
		})
	}
	return json.Marshal(document)
}

// DecodeRecord decodes what [Record.Encode] returned. Times after now come from another
// instance's clock and are replaced by now. DecodeRecord returns a *[RecordError] if data
// is invalid.
func DecodeRecord(data []byte, now time.Time) (Record, error) {
	var document recordDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return Record{}, &RecordError{Cause: err}
	}
	record := Record{}
	for _, each := range document.Suspicions {
		fingerprint, err := strconv.ParseUint(each.Fingerprint, 16, 64)
		if err != nil {
			return Record{}, &RecordError{Cause: err}
		}
		at := time.UnixMilli(each.At)
		if at.After(now) {
			at = now
		}
		record.suspicions = append(record.suspicions, Suspicion{Fingerprint: Fingerprint(fingerprint), Part: each.Part, Server: each.Server, At: at, Probe: each.Probe})
	}
	return record, nil
}

// RecordError reports a record that cannot be decoded.
type RecordError struct {
	Cause error
}

// Error implements [error].
func (recordError *RecordError) Error() string {
	return fmt.Sprintf("record of crashed servers: %v", recordError.Cause)
}

// Unwrap returns the cause.
func (recordError *RecordError) Unwrap() error { return recordError.Cause }
