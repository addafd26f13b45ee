package engine

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/basilkeel/basilkeel/names"
)

// Paths of the HTTP API of model engines.
const (
	PathCompletions = "/v1/completions"
	PathCancel      = "/cancel"
	PathReport      = "/report"
	PathOrders      = "/orders"
)

const (
	eventPrefix   = "data:"
	namePrefix    = "event:"
	errorName     = "error"
	eventDone     = "[DONE]"
	maxEventBytes = 1 << 20
	// unnumbered is the index that pieces without a number get where they need one.
	unnumbered = -1
)

var (
	errNoDoneEvent = errors.New("stream ended without its done event")
	errPieceOrder  = errors.New("a piece is missing or out of order")
	errErrorEvent  = errors.New("engine sent an error event")
)

// HTTPEngineConfig configures an [HTTPEngine].
type HTTPEngineConfig struct {
	// URL is the engine's address without a path, such as http://127.0.0.1:9000.
	URL string
	// TLS is used for https; nil means the default configuration.
	TLS *tls.Config
}

// HTTPEngine implements [Engine] for a model engine with an HTTP API.
type HTTPEngine struct {
	url    string
	client *http.Client
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns a client of the engine at config.URL.
func NewHTTPEngine(config HTTPEngineConfig) *HTTPEngine {
	return &HTTPEngine{url: strings.TrimSuffix(config.URL, "/"), client: newClient(config.TLS)}
}

// Close closes idle connections.
func (httpEngine *HTTPEngine) Close() { httpEngine.client.CloseIdleConnections() }

// Generate implements [Engine].
func (httpEngine *HTTPEngine) Generate(ctx context.Context, generation Generation, sink func(Piece) error) error {
	body, err := EncodeGeneration(generation)
	if err != nil {
		return &SendError{Cause: err}
	}
	response, err := httpEngine.post(ctx, PathCompletions, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	if !strings.HasPrefix(response.Header.Get(contentTypeHeader), contentTypeEvents) {
		cause := fmt.Errorf("content type is %q", response.Header.Get(contentTypeHeader))
		return &BrokenError{Pieces: generation.Offset, Cause: cause}
	}
	return readPieces(ctx, response.Body, generation.Offset, sink)
}

// readPieces reads server-sent events up to the done event and passes their
// pieces to sink. The first piece has to have the index offset. Unless that is zero, the
// piece must be numbered, as it may otherwise be the first of all.
func readPieces(ctx context.Context, reader io.Reader, offset int, sink func(Piece) error) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxEventBytes)
	next := offset
	for scanner.Scan() {
		if name, isName := bytes.CutPrefix(scanner.Bytes(), []byte(namePrefix)); isName && string(bytes.TrimSpace(name)) == errorName {
			return &BrokenError{Pieces: next, Cause: errErrorEvent}
		}
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte(eventPrefix))
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == eventDone {
			return nil
		}
		expected := next
		if next == offset && offset > 0 {
			expected = unnumbered
		}
		piece, err := DecodePiece(data, expected)
		if err != nil {
			return &BrokenError{Pieces: next, Cause: err}
		}
		if piece.Index != next {
			return &BrokenError{Pieces: next, Cause: errPieceOrder}
		}
		if err := sink(piece); err != nil {
			return err
		}
		next++
	}
	return &BrokenError{Pieces: next, Cause: streamEndCause(ctx, scanner.Err())}
}

func streamEndCause(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		return err
	default:
		return errNoDoneEvent
	}
}

// Cancel implements [Engine].
func (httpEngine *HTTPEngine) Cancel(ctx context.Context, request names.Request) error {
	body, err := EncodeCancel(request)
	if err != nil {
		return &SendError{Cause: err}
	}
	response, err := httpEngine.post(ctx, PathCancel, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	return nil
}

// Report implements [Engine].
func (httpEngine *HTTPEngine) Report(ctx context.Context) (Report, error) {
	request, err := newRequest(ctx, http.MethodGet, httpEngine.url+PathReport, nil)
	if err != nil {
		return Report{}, err
	}
	response, err := do(httpEngine.client, request)
	if err != nil {
		return Report{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, statusError(response)
	}
	data, err := readBounded(response.Body, defaultMaxResponseBytes)
	if err != nil {
		return Report{}, &SendError{MaybeSent: true, Cause: err}
	}
	return DecodeReport(data)
}

// Order implements [Engine].
func (httpEngine *HTTPEngine) Order(ctx context.Context, order Order) error {
	body, err := EncodeOrder(order)
	if err != nil {
		return &SendError{Cause: err}
	}
	response, err := httpEngine.post(ctx, PathOrders, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return fencedResponseError(response)
	default:
		return statusError(response)
	}
}

func fencedResponseError(response *http.Response) error {
	data, err := readBounded(response.Body, maxErrorBytes)
	if err != nil {
		return &SendError{MaybeSent: true, Cause: err}
	}
	fencedError, err := DecodeFencedError(data)
	if err != nil {
		return &SendError{MaybeSent: true, Cause: err}
	}
	return fencedError
}

func (httpEngine *HTTPEngine) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	request, err := newRequest(ctx, http.MethodPost, httpEngine.url+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(contentTypeHeader, contentTypeJSON)
	return do(httpEngine.client, request)
}
