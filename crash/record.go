package crash

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Record is what is kept in the platform's service, so that a quarantine outlives
// the loss of all entries at once.
type Record struct{ sightings []Suspicion }

// Suspicions returns those of the record.
func (record Record) Suspicions() []Suspicion { return record.sightings }

// recordDocument is a record as JSON. Fingerprints are hexadecimal, as JSON numbers
// do not hold 64 bits.
type recordDocument struct {
	Sightings []sightingDocument `json:"sightings"`
}

type sightingDocument struct {
	Fingerprint string `json:"fingerprint"`
	Server      string `json:"server"`
	// At is in Unix milliseconds.
	At int64 `json:"at"`
}

// Encode returns the record as JSON.
func (record Record) Encode() ([]byte, error) {
	document := recordDocument{Sightings: []sightingDocument{}}
	for _, suspicion := range record.sightings {
		document.Sightings = append(document.Sightings, sightingDocument{
			Fingerprint: suspicion.Fingerprint.String(), Server: suspicion.Server, At: suspicion.At.UnixMilli(),
		})
	}
	return json.Marshal(document)
}

// DecodeRecord reads what [Record.Encode] wrote. Times after now, from another
// instance's clock, count as now. It fails with a *[RecordError].
func DecodeRecord(data []byte, now time.Time) (Record, error) {
	var document recordDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return Record{}, &RecordError{Cause: err}
	}
	record := Record{}
	for _, each := range document.Sightings {
		fingerprint, err := strconv.ParseUint(each.Fingerprint, 16, 64)
		if err != nil {
			return Record{}, &RecordError{Cause: err}
		}
		at := time.UnixMilli(each.At)
		if at.After(now) {
			at = now
		}
		record.sightings = append(record.sightings, Suspicion{Fingerprint: Fingerprint(fingerprint), Server: each.Server, At: at})
	}
	return record, nil
}

// RecordError reports a record that cannot be read.
type RecordError struct {
	Cause error
}

// Error implements error.
func (recordError *RecordError) Error() string {
	return fmt.Sprintf("record of crashed servers: %v", recordError.Cause)
}

// Unwrap returns the cause.
func (recordError *RecordError) Unwrap() error { return recordError.Cause }
