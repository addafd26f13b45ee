package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/basilkeel/basilkeel/call"
)

// EncodeSnapshot returns the JSON form of snapshot.
func EncodeSnapshot(snapshot *Snapshot) []byte {
	document := encodeDocument(snapshot)
	document.Version = snapshot.Version()
	return mustMarshal(document)
}

// DecodeSnapshot is the inverse of [EncodeSnapshot]. It returns a
// *[CodecError] if encoded is not the JSON form of a configuration, and a
// *[ValidationError] with every fault if the configuration is not valid.
func DecodeSnapshot(encoded []byte) (*Snapshot, error) {
	var document document
	if err := decodeStrictly(encoded, &document); err != nil {
		return nil, err
	}
	snapshot := document.decode()
	if err := Validate(snapshot); err != nil {
		return nil, err
	}
	return snapshot, nil
}

func encodeDocument(snapshot *Snapshot) document {
	document := document{
		Accounts:    convert(snapshot.config.Accounts, encodeAccount),
		Keys:        convert(snapshot.config.Keys, encodeKey),
		Models:      convert(snapshot.config.Models, encodeModel),
		Routes:      convert(snapshot.config.Routes, encodeRoute),
		SigningKeys: convert(snapshot.config.SigningKeys, encodeSigningKey),
	}
	for _, kind := range call.Kinds() {
		if objective, ok := snapshot.config.Objectives[kind]; ok {
			document.Objectives = append(document.Objectives, encodeObjective(kind, objective))
		}
	}
	return document
}

// decode returns the document's configuration, with its parts in the document's
// order.
func (document document) decode() *Snapshot {
	config := SnapshotConfig{
		Version:     document.Version,
		Accounts:    convert(document.Accounts, accountDocument.decode),
		Keys:        convert(document.Keys, keyDocument.decode),
		Models:      convert(document.Models, modelDocument.decode),
		Routes:      convert(document.Routes, routeDocument.decode),
		SigningKeys: convert(document.SigningKeys, signingKeyDocument.decode),
		Objectives:  map[call.Kind]call.Objective{},
	}
	for _, objectiveDocument := range document.Objectives {
		kind, objective := objectiveDocument.decode()
		config.Objectives[kind] = objective
	}
	return NewSnapshot(config)
}

// decodeStrictly decodes exactly one JSON value and rejects unknown fields.
func decodeStrictly(encoded []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &CodecError{Cause: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &CodecError{Cause: errTrailingData}
	}
	return nil
}

// mustMarshal returns the JSON form of document. Only a number that is not
// finite can make the encoding fail, and validation rejects those; the result
// is then null.
func mustMarshal(document any) []byte {
	encoded, err := json.Marshal(document)
	if err != nil {
		return []byte("null")
	}
	return encoded
}
