package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/spread"
	"github.com/basilkeel/basilkeel/trunk"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 256 << 20

var errResponseTooLarge = errors.New("the answer is too large")

// ClientConfig configures a [Client].
type ClientConfig struct {
	// URL is the address of the API, such as http://10.0.0.1:8081.
	URL string
	// Token is the operator's token.
	Token string
	HTTP  *http.Client
}

// Client calls the administration API. Its errors are *[APIError],
// *[config.ConflictError], *[config.ValidationError], *[ResponseError], those of
// [trunk.CheckHead] or those of the HTTP client. After one of the last three a change may have
// taken effect; the caller must retry it with the same id.
type Client struct {
	config ClientConfig
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client { return &Client{config: config} }

// Apply submits a change and returns its outcome.
func (client *Client) Apply(ctx context.Context, change config.Change) (Outcome, error) {
	var document outcomeDocument
	err := client.call(ctx, http.MethodPost, "/admin/v1/changes", config.EncodeChange(change), &document)
	return document.decode(), err
}

func (document outcomeDocument) decode() Outcome {
	return Outcome{
		Record:    document.Change.decode(),
		Announced: document.Announced,
		Rollout:   document.Rollout.decode(),
	}
}

func (document rolloutDocument) decode() spread.Rollout {
	return spread.Rollout{Version: config.Version(document.Version), Instances: document.Instances, Live: document.Live}
}

// DryRun returns the differences that a change would make, without storing it.
func (client *Client) DryRun(ctx context.Context, change config.Change) ([]config.Difference, error) {
	var document dryRunDocument
	err := client.call(ctx, http.MethodPost, "/admin/v1/dryruns", config.EncodeChange(change), &document)
	differences := make([]config.Difference, 0, len(document.Differences))
	for _, difference := range document.Differences {
		differences = append(differences, config.Difference{
			Path:   difference.Path,
			Action: config.Action(difference.Action),
			Before: difference.Before,
			After:  difference.After,
		})
	}
	return differences, err
}

// Show returns the configuration in force at the instance that handles the
// request.
func (client *Client) Show(ctx context.Context) (*config.Snapshot, error) {
	var document configurationDocument
	if err := client.call(ctx, http.MethodGet, "/admin/v1/configuration", nil, &document); err != nil {
		return nil, err
	}
	return config.DecodeSnapshot(document.raw)
}

// History returns up to limit records of versions lower than before, latest
// first. If before is zero, it starts at the latest version.
func (client *Client) History(ctx context.Context, before config.Version, limit int) ([]config.Record, error) {
	query := url.Values{"before": {strconv.FormatInt(int64(before), 10)}, "limit": {strconv.Itoa(limit)}}
	var document historyDocument
	err := client.call(ctx, http.MethodGet, "/admin/v1/changes?"+query.Encode(), nil, &document)
	records := make([]config.Record, 0, len(document.Changes))
	for _, record := range document.Changes {
		records = append(records, record.decode())
	}
	return records, err
}

// Rollout returns on how many instances a version or a later one is in force,
// and how many instances are live.
func (client *Client) Rollout(ctx context.Context, version config.Version) (spread.Rollout, error) {
	var document rolloutDocument
	path := "/admin/v1/standing?version=" + strconv.FormatInt(int64(version), 10)
	err := client.call(ctx, http.MethodGet, path, nil, &document)
	return document.decode(), err
}

// IssueKey creates a key and returns its secret, which cannot be retrieved
// later. If the response is lost, withdraw the key and issue one with another
// name.
func (client *Client) IssueKey(ctx context.Context, id config.ChangeID, expected config.Version, name names.Key, account names.ClientAccount) (Outcome, string, error) {
	request := issueDocument{ChangeID: string(id), Expected: int64(expected), Name: name, Account: account}
	body, err := json.Marshal(request)
	if err != nil {
		return Outcome{}, "", err
	}
	var document outcomeDocument
	err = client.call(ctx, http.MethodPost, "/admin/v1/keys", body, &document)
	if err == nil && document.Secret == "" {
		err = &ResponseError{Status: http.StatusOK, Field: "secret"}
	}
	return document.decode(), document.Secret, err
}

// WithdrawKey withdraws a key. It needs no expected version: the server applies
// the change to the latest one.
func (client *Client) WithdrawKey(ctx context.Context, id config.ChangeID, name names.Key) (Outcome, error) {
	body, err := json.Marshal(withdrawDocument{ChangeID: string(id)})
	if err != nil {
		return Outcome{}, err
	}
	var document outcomeDocument
	path := "/admin/v1/keys/" + url.PathEscape(string(name)) + "/withdrawal"
	err = client.call(ctx, http.MethodPost, path, body, &document)
	return document.decode(), err
}

// call sends a request and decodes the response into answer. It fails with a
// *[ResponseError] if the response is none of the API or tells nothing.
func (client *Client) call(ctx context.Context, method, path string, body []byte, answer responseDocument) error {
	request, err := http.NewRequestWithContext(ctx, method, client.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// On a new connection no earlier response can arrive in place of this request's.
	request.Close = true
	request.Header.Set("Authorization", "Bearer "+client.config.Token)
	request.Header.Set("Content-Type", mediaJSON)
	response, err := client.config.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := trunk.CheckHead(response); err != nil {
		return err
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(content) > maxResponseBytes {
		return errResponseTooLarge
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeError(response.StatusCode, content)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return &ResponseError{Status: response.StatusCode, Field: "result"}
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return err
	}
	if field := answer.missingField(); field != "" {
		return &ResponseError{Status: response.StatusCode, Field: field}
	}
	return nil
}

// decodeError returns the error that the body of a failed response describes.
func decodeError(status int, content []byte) error {
	var document errorDocument
	if err := json.Unmarshal(content, &document); err != nil || document.Code == "" {
		return &ResponseError{Status: status, Field: "error code"}
	}
	switch {
	case document.Conflict != nil:
		return &config.ConflictError{
			Expected: config.Version(document.Conflict.Expected),
			Current:  config.Version(document.Conflict.Current),
			ChangeID: config.ChangeID(document.Conflict.ChangeID),
			Operator: document.Conflict.Operator,
		}
	case len(document.Faults) > 0:
		validationError := &config.ValidationError{}
		for _, fault := range document.Faults {
			validationError.Faults = append(validationError.Faults, config.Fault(fault))
		}
		return validationError
	default:
		return &APIError{Status: status, Code: document.Code, Message: document.Message}
	}
}
