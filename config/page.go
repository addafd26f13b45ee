package config

import "encoding/json"

// page is the JSON form of a stored part of the history, oldest record first.
type page struct {
	Records []recordDocument `json:"records"`
}

func encodePage(records []Record) []byte {
	return mustMarshal(page{Records: convert(records, encodeRecord)})
}

func decodePage(encoded []byte) ([]Record, error) {
	var page page
	if err := json.Unmarshal(encoded, &page); err != nil {
		return nil, &CodecError{Cause: err}
	}
	return convert(page.Records, recordDocument.decode), nil
}
