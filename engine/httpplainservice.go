package engine

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
)

// Headers that identify a call and its client account to a plain service.
const (
	HeaderRequest = "Basilkeel-Request"
	HeaderAccount = "Basilkeel-Account"
)

// HTTPPlainServiceConfig configures an [HTTPPlainService].
type HTTPPlainServiceConfig struct {
	// URL is the service's address without a path.
	URL string
	// TLS is used for https; nil means the default configuration.
	TLS *tls.Config
	// MaxResponseBytes limits the body of a response; zero means the default.
	MaxResponseBytes int64
}

// HTTPPlainService implements [PlainService] for a service with an HTTP API.
type HTTPPlainService struct {
	url              string
	client           *http.Client
	maxResponseBytes int64
}

var _ PlainService = (*HTTPPlainService)(nil)

// NewHTTPPlainService returns a client of the service at config.URL.
func NewHTTPPlainService(config HTTPPlainServiceConfig) *HTTPPlainService {
	maxResponseBytes := config.MaxResponseBytes
	if maxResponseBytes == 0 {
		maxResponseBytes = defaultMaxResponseBytes
	}
	return &HTTPPlainService{
		url: strings.TrimSuffix(config.URL, "/"), client: newClient(config.TLS), maxResponseBytes: maxResponseBytes,
	}
}

// Close closes idle connections.
func (httpPlain *HTTPPlainService) Close() { httpPlain.client.CloseIdleConnections() }

// Call implements [PlainService]. The call is sent at most once.
func (httpPlain *HTTPPlainService) Call(ctx context.Context, plainCall PlainCall) (PlainResponse, error) {
	url := httpPlain.url + "/" + strings.TrimPrefix(plainCall.Path, "/")
	request, err := newRequest(ctx, plainCall.Method, url, plainCall.Body)
	if err != nil {
		return PlainResponse{}, err
	}
	for name, values := range plainCall.Header {
		request.Header[name] = append([]string(nil), values...)
	}
	request.Header.Set(HeaderRequest, string(plainCall.Request))
	request.Header.Set(HeaderAccount, string(plainCall.Account))
	response, err := do(httpPlain.client, request)
	if err != nil {
		return PlainResponse{}, err
	}
	defer response.Body.Close()
	body, err := readBounded(response.Body, httpPlain.maxResponseBytes)
	if err != nil {
		return PlainResponse{}, &SendError{MaybeSent: true, Cause: err}
	}
	return PlainResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
