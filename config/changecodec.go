package config

import "fmt"

// changeDocument is the wire form of a [Change].
type changeDocument struct {
	ChangeID string         `json:"changeId"`
	Operator string         `json:"operator,omitempty"`
	Expected Version        `json:"expectedVersion"`
	Edits    []editDocument `json:"edits"`
}

// EncodeChange returns the JSON form of change.
func EncodeChange(change Change) []byte {
	return mustMarshal(changeDocument{
		ChangeID: string(change.ID),
		Operator: change.Operator,
		Expected: change.Expected,
		Edits:    convert(change.Edits, encodeEdit),
	})
}

// DecodeChange is the inverse of [EncodeChange]. It returns a *[CodecError] if
// encoded is not the JSON form of a change, and a *[ValidationError] if an edit
// has an unknown operation or lacks a field.
func DecodeChange(encoded []byte) (Change, error) {
	var document changeDocument
	if err := decodeStrictly(encoded, &document); err != nil {
		return Change{}, err
	}
	change := Change{ID: ChangeID(document.ChangeID), Operator: document.Operator, Expected: document.Expected}
	var faults []Fault
	for i, editDocument := range document.Edits {
		edit, fault := editDocument.decode(fmt.Sprintf("edits/%d", i))
		if fault != nil {
			faults = append(faults, *fault)
			continue
		}
		change.Edits = append(change.Edits, edit)
	}
	if len(faults) > 0 {
		return Change{}, &ValidationError{Faults: faults}
	}
	return change, nil
}
