package admin

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/spread"
)

// getConfiguration returns the configuration in force at this instance.
func (server *Server) getConfiguration(request *http.Request, _ Operator, _ []byte) (int, any, error) {
	snapshot, err := server.snapshot(request.Context())
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, json.RawMessage(config.EncodeSnapshot(snapshot)), nil
}

// getChanges returns a part of the history, latest first.
func (server *Server) getChanges(request *http.Request, _ Operator, _ []byte) (int, any, error) {
	before, err := queryNumber(request, "before", 0)
	if err != nil {
		return 0, nil, err
	}
	limit, err := queryNumber(request, "limit", defaultHistoryLimit)
	if err != nil {
		return 0, nil, err
	}
	limit = min(max(limit, 1), maxHistoryLimit)
	records, err := server.config.Repository.History(request.Context(), config.Version(before), int(limit))
	if err != nil {
		return 0, nil, err
	}
	document := historyDocument{Changes: []recordDocument{}}
	for _, record := range records {
		document.Changes = append(document.Changes, encodeRecord(record))
	}
	return http.StatusOK, document, nil
}

// queryNumber parses a query parameter, or returns fallback if it is absent.
func queryNumber(request *http.Request, name string, fallback int64) (int64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, &APIError{Status: http.StatusBadRequest, Code: codeBadRequest, Message: name + " is not a number of at least 0"}
	}
	return number, nil
}

// getRollout returns on how many instances a version or a later one is in
// force, and how many are live. The default is the version in force at this
// instance.
func (server *Server) getRollout(request *http.Request, _ Operator, _ []byte) (int, any, error) {
	var current int64
	if snapshot := server.config.Publisher.Current(); snapshot != nil {
		current = int64(snapshot.Version())
	}
	version, err := queryNumber(request, "version", current)
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, encodeRollout(server.config.Publisher.Rollout(request.Context(), config.Version(version))), nil
}

func encodeRollout(rollout spread.Rollout) rolloutDocument {
	return rolloutDocument{Version: int64(rollout.Version), Instances: rollout.Instances, Live: rollout.Live}
}

func (server *Server) postChange(request *http.Request, operator Operator, body []byte) (int, any, error) {
	change, err := config.DecodeChange(body)
	if err != nil {
		return 0, nil, err
	}
	if err := authorize(operator, requiredRole(change)); err != nil {
		return 0, nil, err
	}
	change.Operator = operator.Name()
	outcome, err := server.apply(request.Context(), change)
	if err != nil {
		return 0, nil, err
	}
	return server.changeResponse(outcome, "")
}

// changeResponse logs a stored change and returns the response for it. The
// status is 202 if the relays of no failure domain know of the change yet.
func (server *Server) changeResponse(outcome Outcome, secret string) (int, any, error) {
	fields := logrus.Fields{
		"change": outcome.Record.ChangeID, "operator": outcome.Record.Operator, "version": outcome.Record.Version,
		"inForceOn": outcome.Rollout.Instances, "of": outcome.Rollout.Live,
	}
	document := outcomeDocument{
		Change:    encodeRecord(outcome.Record),
		Announced: outcome.Announced,
		Rollout:   encodeRollout(outcome.Rollout),
		Secret:    secret,
	}
	if !outcome.Announced {
		event.ChangeNotAnnounced.Log(server.config.Logger, fields)
		return http.StatusAccepted, document, nil
	}
	event.ChangeAccepted.Log(server.config.Logger, fields)
	return http.StatusOK, document, nil
}

func (server *Server) postDryRun(request *http.Request, operator Operator, body []byte) (int, any, error) {
	change, err := config.DecodeChange(body)
	if err != nil {
		return 0, nil, err
	}
	change.Operator = operator.Name()
	if err := server.checkSigning(request.Context(), change); err != nil {
		return 0, nil, err
	}
	before, after, err := server.config.Repository.DryRun(request.Context(), change)
	if err != nil {
		return 0, nil, err
	}
	document := dryRunDocument{Version: int64(after.Version()), Differences: []differenceDocument{}}
	for _, difference := range config.Diff(before, after) {
		document.Differences = append(document.Differences, differenceDocument{
			Path:   difference.Path,
			Action: string(difference.Action),
			Before: difference.Before,
			After:  difference.After,
		})
	}
	return http.StatusOK, document, nil
}

func (server *Server) postKey(request *http.Request, operator Operator, body []byte) (int, any, error) {
	var document issueDocument
	if err := decodeJSON(body, &document); err != nil {
		return 0, nil, err
	}
	outcome, secret, err := server.issue(request.Context(), document, operator.Name())
	if err != nil {
		return 0, nil, err
	}
	return server.changeResponse(outcome, secret)
}

func (server *Server) postWithdrawal(request *http.Request, operator Operator, body []byte) (int, any, error) {
	var document withdrawDocument
	if err := decodeJSON(body, &document); err != nil {
		return 0, nil, err
	}
	key, err := url.PathUnescape(mux.Vars(request)["name"])
	if err != nil {
		return 0, nil, &APIError{Status: http.StatusBadRequest, Code: codeBadRequest, Message: "the path is not well-formed"}
	}
	outcome, err := server.withdraw(request.Context(), config.ChangeID(document.ChangeID), operator.Name(), names.Key(key))
	if err != nil {
		return 0, nil, err
	}
	return server.changeResponse(outcome, "")
}
