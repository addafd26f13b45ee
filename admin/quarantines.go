package admin

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/basilkeel/basilkeel/poison"
)

// Quarantines is the set of requests that are refused because they crashed
// backend servers. [poison.SharedTracker] implements it.
type Quarantines interface {
	// Quarantines returns the fingerprints of the requests, each with the time
	// at which its quarantine ends.
	Quarantines() map[poison.Fingerprint]time.Time
	// Lift ends the quarantine of a fingerprint.
	Lift(fingerprint poison.Fingerprint)
}

var _ Quarantines = (*poison.SharedTracker)(nil)

// quarantineDocument is the wire form of a [Quarantine].
type quarantineDocument struct {
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// quarantinesDocument is the response to a request for the quarantines.
type quarantinesDocument struct {
	Quarantines []quarantineDocument `json:"quarantines"`
}

// getQuarantines returns the quarantines that this instance knows of, ordered
// by fingerprint.
func (server *Server) getQuarantines(*http.Request, Operator, []byte) (int, any, error) {
	document := quarantinesDocument{Quarantines: []quarantineDocument{}}
	for fingerprint, until := range server.config.Quarantines.Quarantines() {
		document.Quarantines = append(document.Quarantines, quarantineDocument{Fingerprint: fingerprint.String(), Until: until.UTC()})
	}
	slices.SortFunc(document.Quarantines, func(a, b quarantineDocument) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return http.StatusOK, document, nil
}

// postLift ends a quarantine at this instance. Agents and other entries learn
// of it from the requests that this instance sends.
func (server *Server) postLift(request *http.Request, _ Operator, _ []byte) (int, any, error) {
	fingerprint, err := poison.ParseFingerprint(mux.Vars(request)["fingerprint"])
	var fingerprintError *poison.FingerprintError
	if errors.As(err, &fingerprintError) {
		return 0, nil, &APIError{Status: http.StatusBadRequest, Code: codeBadRequest, Message: err.Error()}
	}
	until, known := server.config.Quarantines.Quarantines()[fingerprint]
	if !known {
		return 0, nil, &APIError{Status: http.StatusNotFound, Code: codeNotFound, Message: "this instance knows of no such quarantine"}
	}
	server.config.Quarantines.Lift(fingerprint)
	return http.StatusOK, quarantineDocument{Fingerprint: fingerprint.String(), Until: until.UTC()}, nil
}
