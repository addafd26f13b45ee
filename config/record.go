package config

import (
	"time"
)

const (
	// maxSummaryBytes limits the summary of a change.
	maxSummaryBytes = 1_024
	// maxEditSummaryBytes limits the summary of one edit.
	maxEditSummaryBytes = 256
)

// Record is the audit record of one accepted change: who made which edits, and
// when.
type Record struct {
	ChangeID ChangeID
	Operator string
	// Version is the version that the change produced.
	Version Version
	At      time.Time
	// Digest is the hash of the JSON form of all edits.
	Digest Hash
	// Edits is the number of edits.
	Edits int
	// Summary lists the JSON forms of the edits. Long forms are truncated, and
	// the list ends where it would exceed its size limit.
	Summary []string
}

func newRecord(change Change, version Version, at time.Time) Record {
	return Record{
		ChangeID: change.ID,
		Operator: change.Operator,
		Version:  version,
		At:       at.UTC().Truncate(time.Millisecond),
		Digest:   digestOf(change),
		Edits:    len(change.Edits),
		Summary:  summarize(change.Edits),
	}
}

// digestOf returns the hash of the edits of change. It does not depend on the
// change's ID, operator or expected version.
func digestOf(change Change) Hash {
	return HashOf(mustMarshal(convert(change.Edits, encodeEdit)))
}

func summarize(edits []Edit) []string {
	var summary []string
	total := 0
	for _, edit := range edits {
		text := string(mustMarshal(encodeEdit(edit)))
		if len(text) > maxEditSummaryBytes {
			text = text[:maxEditSummaryBytes]
		}
		total += len(text)
		if total > maxSummaryBytes {
			break
		}
		summary = append(summary, text)
	}
	return summary
}

// recordDocument is the JSON form of a [Record].
type recordDocument struct {
	ChangeID string    `json:"changeId"`
	Operator string    `json:"operator"`
	Version  Version   `json:"version"`
	At       time.Time `json:"at"`
	Digest   Hash      `json:"digest"`
	Edits    int       `json:"edits"`
	Summary  []string  `json:"summary,omitempty"`
}

func encodeRecord(record Record) recordDocument {
	return recordDocument{
		ChangeID: string(record.ChangeID),
		Operator: record.Operator,
		Version:  record.Version,
		At:       record.At,
		Digest:   record.Digest,
		Edits:    record.Edits,
		Summary:  record.Summary,
	}
}

func (document recordDocument) decode() Record {
	return Record{
		ChangeID: ChangeID(document.ChangeID),
		Operator: document.Operator,
		Version:  document.Version,
		At:       document.At,
		Digest:   document.Digest,
		Edits:    document.Edits,
		Summary:  document.Summary,
	}
}
