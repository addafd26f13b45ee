package admin

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// recordDocument is the wire form of a [config.Record].
type recordDocument struct {
	ChangeID string    `json:"changeId"`
	Operator string    `json:"operator"`
	Version  int64     `json:"version"`
	At       time.Time `json:"at"`
	Edits    int       `json:"edits"`
	Summary  []string  `json:"summary,omitempty"`
}

func encodeRecord(record config.Record) recordDocument {
	return recordDocument{
		ChangeID: string(record.ChangeID),
		Operator: record.Operator,
		Version:  int64(record.Version),
		At:       record.At,
		Edits:    record.Edits,
		Summary:  record.Summary,
	}
}

func (document recordDocument) decode() config.Record {
	return config.Record{
		ChangeID: config.ChangeID(document.ChangeID),
		Operator: document.Operator,
		Version:  config.Version(document.Version),
		At:       document.At,
		Edits:    document.Edits,
		Summary:  document.Summary,
	}
}

// historyDocument is the response to a request for the history.
type historyDocument struct {
	Changes []recordDocument `json:"changes"`
}

// rolloutDocument is the wire form of a [spread.Rollout].
type rolloutDocument struct {
	Version   int64 `json:"version"`
	Instances int   `json:"inForceOn"`
	Live      int   `json:"of"`
}

// outcomeDocument is the wire form of an [Outcome].
type outcomeDocument struct {
	Change    recordDocument  `json:"change"`
	Announced bool            `json:"announced"`
	Rollout   rolloutDocument `json:"standing"`
	// Secret is set only in the response to a request that issued a key.
	Secret string `json:"secret,omitempty"`
}

// differenceDocument is the wire form of a [config.Difference].
type differenceDocument struct {
	Path   string `json:"path"`
	Action string `json:"action"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// dryRunDocument is the response to a dry run.
type dryRunDocument struct {
	Version     int64                `json:"version"`
	Differences []differenceDocument `json:"differences"`
}

// issueDocument is a request for a new key.
type issueDocument struct {
	ChangeID string              `json:"changeId"`
	Expected int64               `json:"expectedVersion"`
	Name     names.Key           `json:"name"`
	Account  names.ClientAccount `json:"account"`
}

// withdrawDocument is a request to withdraw a key. It has no expected version;
// the withdrawal applies to the latest one.
type withdrawDocument struct {
	ChangeID string `json:"changeId"`
}

// errorDocument is the response to a failed request.
type errorDocument struct {
	Code     string            `json:"code"`
	Message  string            `json:"message"`
	Faults   []faultDocument   `json:"faults,omitempty"`
	Conflict *conflictDocument `json:"conflict,omitempty"`
}

type faultDocument struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

type conflictDocument struct {
	Expected int64  `json:"expectedVersion"`
	Current  int64  `json:"currentVersion"`
	ChangeID string `json:"changeId"`
	Operator string `json:"operator"`
}
