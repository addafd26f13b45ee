package config

import (
	"encoding/json"
	"slices"
)

const (
	// maxRecent limits the recent records. When another one is added, the oldest
	// maxRecent/2 move to a page.
	maxRecent = 16
	// maxPageRecords limits the records in one page.
	maxPageRecords = 512
	// maxPages limits the pages of the history; the oldest page is dropped.
	maxPages = 64
)

// history lists the accepted changes. It is immutable.
type history struct {
	// recent holds the latest records, oldest first.
	recent []Record
	// pages refers to the pages of older records, oldest first.
	pages []Ref
}

// historyDocument is the JSON form of a [history].
type historyDocument struct {
	Recent []recordDocument `json:"recent"`
	Pages  []string         `json:"pages,omitempty"`
}

func (history history) encode() []byte {
	return mustMarshal(historyDocument{Recent: convert(history.recent, encodeRecord), Pages: convert(history.pages, Ref.String)})
}

func decodeHistory(encoded []byte) (history, error) {
	var document historyDocument
	if err := json.Unmarshal(encoded, &document); err != nil {
		return history{}, &CodecError{Cause: err}
	}
	decoded := history{recent: convert(document.Recent, recordDocument.decode)}
	for _, text := range document.Pages {
		ref, err := parseRef(text)
		if err != nil {
			return history{}, err
		}
		decoded.pages = append(decoded.pages, ref)
	}
	return decoded, nil
}

// withRecord returns a copy of the history with record appended.
func (history history) withRecord(record Record) history {
	history.recent = append(slices.Clone(history.recent), record)
	return history
}
