package admin

import (
	"bytes"
	"encoding/json"
)

// responseDocument is the document of a successful response. A response of something
// else would otherwise decode as an empty list, or as a change of version 0.
type responseDocument interface {
	// missingField returns the name of a field without which the document tells nothing,
	// or the empty text if there is none.
	missingField() string
}

func (document *outcomeDocument) missingField() string {
	switch {
	case document.Change.ChangeID == "":
		return "changeId"
	case document.Change.Version <= 0:
		return "version"
	default:
		return ""
	}
}

func (document *dryRunDocument) missingField() string {
	if document.Differences == nil {
		return "differences"
	}
	return ""
}

func (document *historyDocument) missingField() string {
	if document.Changes == nil {
		return "changes"
	}
	return ""
}

// missingField relies on an instance counting itself as live.
func (document *rolloutDocument) missingField() string {
	if document.Live <= 0 {
		return "number of live instances"
	}
	return ""
}

func (document *quarantinesDocument) missingField() string {
	if document.Quarantines == nil {
		return "quarantines"
	}
	return ""
}

func (document *quarantineDocument) missingField() string {
	if document.Fingerprint == "" {
		return "fingerprint"
	}
	return ""
}

// configurationDocument is the encoded configuration, which is {} before the first
// change.
type configurationDocument struct {
	raw json.RawMessage
}

// UnmarshalJSON implements [json.Unmarshaler].
func (document *configurationDocument) UnmarshalJSON(data []byte) error {
	document.raw = bytes.Clone(data)
	return nil
}

func (document *configurationDocument) missingField() string {
	if len(document.raw) == 0 || string(document.raw) == "null" {
		return "configuration"
	}
	return ""
}
