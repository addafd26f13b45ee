package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/trunk"
)

const (
	dialTimeout             = 2 * time.Second
	defaultMaxResponseBytes = 4 << 20
	maxErrorBytes           = 4 << 10
	contentTypeHeader       = "Content-Type"
	contentTypeJSON         = "application/json"
	contentTypeEvents       = "text/event-stream"
)

var errResponseTooLarge = errors.New("response exceeds its size limit")

// newClient returns an HTTP client that follows no redirects and whose
// connections record whether a request was written. Each request opens a
// connection: backend servers are not bound to name the request in a response, so
// that a late second response to an earlier one would be taken for its response.
func newClient(tlsConfig *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: resumable(tlsConfig)}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: tracked(dialer.DialContext), DialTLSContext: tracked(tlsDialer.DialContext),
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: trunk.MaxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// tracked returns a dial function whose connections are each a [trackedConn] over those of dial.
func tracked(dial trunk.Dial) trunk.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// resumable returns a TLS configuration with which a connection resumes the session of
// an earlier one, which takes a fraction of a full handshake.
func resumable(tlsConfig *tls.Config) *tls.Config {
	if tlsConfig == nil {
		tlsConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	resumable := tlsConfig.Clone()
	if resumable.ClientSessionCache == nil {
		resumable.ClientSessionCache = tls.NewLRUClientSessionCache(0)
	}
	return resumable
}

// newRequest returns a request that the transport does not retry by itself.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, singleUseBody{Reader: bytes.NewReader(body)})
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	request.ContentLength = int64(len(body))
	return request, nil
}

// readBounded reads all of reader. It fails if that is more than maxBytes.
func readBounded(reader io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reader, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxBytes {
		return nil, errResponseTooLarge
	}
	return data, nil
}

func statusError(response *http.Response) error {
	message, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		message = []byte(err.Error())
	}
	return &StatusError{Status: response.StatusCode, Message: string(message)}
}
