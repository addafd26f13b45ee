//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	callerHost = "desk.example"
	tenantName = "tenant-a"
	tenantKey  = "key-of-tenant-a"
)

// call is a caller's request.
type call struct {
	method string
	path   string
	body   string
	model  string
	// tokens is the number of tokens of a request for a model; the default is a usual draft.
	tokens string
	// link carries the body; nil means that it is sent at once.
	link     *link
	deadline time.Duration
	// patience is how long the caller waits for the whole answer.
	patience time.Duration
}

// outcome is what the caller saw. The status is zero if there was no whole answer.
type outcome struct {
	id     string
	status int
	body   string
	took   time.Duration
	err    error
}

// String describes the outcome for the record.
func (outcome outcome) String() string {
	if outcome.err != nil {
		return fmt.Sprintf("no answer after %d ms (%v)", outcome.took.Milliseconds(), outcome.err)
	}
	text := fmt.Sprintf("status %d after %d ms", outcome.status, outcome.took.Milliseconds())
	if outcome.status >= http.StatusMultipleChoices {
		text += " " + strings.TrimSpace(outcome.body)
	}
	return text
}

var callerTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends a request to an entry on a connection of its own.
func (entry *entry) send(call call) outcome { return entry.sendOver(callerTransport, call) }

// sendOver sends a request to an entry over a transport.
func (entry *entry) sendOver(transport *http.Transport, call call) outcome {
	result := outcome{id: fmt.Sprintf("%016x", rand.Uint64())}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), call.patience)
	defer cancel()
	var body io.Reader = strings.NewReader(call.body)
	if call.link != nil {
		body = &linkReader{link: call.link, body: body}
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+entry.address(entry.fleet.ports.front)+call.path, body)
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(call.body))
	request.Host = callerHost
	request.Header.Set("X-Attempt-Id", result.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(call.deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	if call.model != "" {
		request.Header.Set("X-Model", call.model)
		request.Header.Set("X-Token-Count", cmp.Or(call.tokens, "600,100"))
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		defer response.Body.Close()
		var data []byte
		data, err = io.ReadAll(response.Body)
		result.status, result.body = response.StatusCode, string(data)
	}
	if err != nil {
		result.status, result.err = 0, err
	}
	result.took = time.Since(began)
	return result
}
