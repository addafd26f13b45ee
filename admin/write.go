package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/store"
)

const mediaJSON = "application/json"

// decodeJSON decodes a body and rejects unknown fields.
func decodeJSON(body []byte, document any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return &config.CodecError{Cause: err}
	}
	return nil
}

func writeJSON(writer http.ResponseWriter, status int, document any) {
	encoded, err := json.Marshal(document)
	if err != nil {
		status, encoded = http.StatusInternalServerError, []byte(`{"code":"`+codeInternal+`"}`)
	}
	writer.Header().Set("Content-Type", mediaJSON)
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	writer.Write(encoded)
}

func writeError(writer http.ResponseWriter, err error) {
	status, document := describeError(err)
	document.Message = ident.Redact(document.Message)
	writeJSON(writer, status, document)
}

// describeError returns the HTTP status and document for an error.
func describeError(err error) (int, errorDocument) {
	var apiError *APIError
	var conflictError *config.ConflictError
	var validationError *config.ValidationError
	var codecError *config.CodecError
	switch {
	case errors.As(err, &apiError):
		return apiError.Status, errorDocument{Code: apiError.Code, Message: apiError.Message}
	case errors.As(err, &conflictError):
		return http.StatusConflict, errorDocument{Code: codeConflict, Message: err.Error(), Conflict: &conflictDocument{
			Expected: int64(conflictError.Expected),
			Current:  int64(conflictError.Current),
			ChangeID: string(conflictError.ChangeID),
			Operator: conflictError.Operator,
		}}
	case errors.As(err, &validationError):
		document := errorDocument{Code: codeInvalid, Message: "the change is not valid"}
		for _, fault := range validationError.Faults {
			document.Faults = append(document.Faults, faultDocument(fault))
		}
		return http.StatusUnprocessableEntity, document
	case errors.As(err, &codecError):
		return http.StatusBadRequest, errorDocument{Code: codeBadRequest, Message: err.Error()}
	default:
		return describeStoreError(err)
	}
}

func describeStoreError(err error) (int, errorDocument) {
	var unknownError *store.UnknownError
	var unavailableError *store.UnavailableError
	switch {
	case errors.As(err, &unknownError):
		message := "the change may have taken effect; send it again with the same changeId"
		return http.StatusServiceUnavailable, errorDocument{Code: codeUnknown, Message: message}
	case errors.As(err, &unavailableError):
		message := "the platform's key-value service cannot be reached; nothing was changed"
		return http.StatusServiceUnavailable, errorDocument{Code: codeUnavailable, Message: message}
	default:
		return http.StatusInternalServerError, errorDocument{Code: codeInternal, Message: err.Error()}
	}
}
