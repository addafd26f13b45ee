package soak_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// keyHeader names a request in the ledger, also if it has no identifier of its own.
const keyHeader = "X-Soak-Key"

// entryFailures are the statuses with which entries fail requests by themselves.
var entryFailures = []int{
	http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge,
	http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

// asked is a request that a caller has sent.
type asked struct {
	key    string
	id     string
	method string
	target string
	kind   routeKind
	tenant string
	model  string
	body   []byte
	// mode is how the caller behaves, askedAt when it sent the request.
	mode    string
	askedAt time.Time
	// refused is the status of a response that promises that the request never runs.
	refused int
	runs    []run
}

// run is a run of a request at a server, with the response that the server means to send.
type run struct {
	server string
	stamp  string
	status int
	body   []byte
}

// received is a response that a caller has read.
type received struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
}

// ledger records requests and runs, and checks them against each other.
type ledger struct {
	// mutex guards all fields and the requests in them.
	mutex    sync.Mutex
	requests map[string]*asked
	faults   map[string][]string
	counts   map[string]int
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*asked{}, faults: map[string][]string{}, counts: map[string]int{}}
}

// count adds to a counter of the report.
func (ledger *ledger) count(name string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.counts[name]++
}

// most records the largest number of a kind.
func (ledger *ledger) most(name string, number int64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.counts[name] = max(ledger.counts[name], int(number))
}

// fault records a broken rule.
func (ledger *ledger) fault(class, format string, args ...any) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.addFault(class, format, args...)
}

// addFault records a broken rule. The caller holds mutex.
func (ledger *ledger) addFault(class, format string, args ...any) {
	ledger.faults[class] = append(ledger.faults[class], fmt.Sprintf(format, args...))
}

func (ledger *ledger) ask(asked *asked) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	asked.askedAt = time.Now()
	ledger.requests[asked.key] = asked
}

// checkUnanswered checks a request whose connection ended without a response, at an entry that
// was last killed at some time. Callers that go on sending or have left are not meant.
func (ledger *ledger) checkUnanswered(asked *asked, killedAt time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.counts["closed without a response"]++
	if len(asked.runs) > 0 && killedAt.Before(asked.askedAt) && (asked.mode == "ordinary" || asked.mode == "lingers") {
		ledger.addFault("LOST", "%s [%s, %s] ran at %s and its connection ended without a response", asked.key, asked.kind, asked.mode, asked.runs[0].server)
	}
}

// begin records that a server runs a request and checks that it may. It returns nil if no
// caller sent the request. The body is nil if the server has not read it yet.
func (ledger *ledger) begin(server, service, zone string, request *http.Request, body []byte, plan func(asked *asked, number int) run) *run {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	asked := ledger.requests[request.Header.Get(keyHeader)]
	if asked == nil || asked.method != request.Method || asked.target != request.RequestURI || (body != nil && !bytes.Equal(asked.body, body)) ||
		asked.id != request.Header.Get("X-Attempt-Id") || asked.model != request.Header.Get("X-Model") ||
		request.Header.Get("X-Tenant") != asked.tenant || request.Header.Get("Authorization") != "" {
		ledger.addFault("UNASKED", "server %s got %s %s with header %v", server, request.Method, request.RequestURI, request.Header)
		return nil
	}
	if !asked.kind.allows(service) {
		ledger.addFault("ROUTE", "%s of kind %s runs at service %s", asked.key, asked.kind, service)
	}
	if !inHome(asked, zone) {
		ledger.addFault("HOME", "%s [%s %s] of %s runs at %s in %s", asked.key, asked.kind, asked.mode, asked.tenant, server, zone)
	}
	if asked.refused != 0 {
		ledger.addFault("REFUSED: runs later", "%s [%s %s] was answered %d and runs at %s", asked.key, asked.kind, asked.mode, asked.refused, server)
	}
	if len(asked.runs) > 0 && !asked.kind.repeatable() {
		ledger.addFault("TWICE", "%s [%s %s] runs at %s and at %s", asked.key, asked.kind, asked.mode, asked.runs[0].server, server)
	}
	run := plan(asked, len(asked.runs))
	run.server = server
	asked.runs = append(asked.runs, run)
	ledger.counts["runs"]++
	return &run
}

// drop releases the bodies of a request whose response has been checked.
func (ledger *ledger) drop(asked *asked) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for index := range asked.runs {
		asked.runs[index].body = nil
	}
}

// checkBody checks a body that a server has read after its response.
func (ledger *ledger) checkBody(request *http.Request, body []byte) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.counts["bodies read after the response"]++
	asked := ledger.requests[request.Header.Get(keyHeader)]
	if asked == nil || !bytes.Equal(asked.body, body) {
		ledger.addFault("UNASKED", "%s %s got other bytes after its response", request.Method, request.RequestURI)
	}
}

// check checks a response that a caller got.
func (ledger *ledger) check(asked *asked, received received) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.counts[fmt.Sprintf("status %d", received.status)]++
	described := fmt.Sprintf("%s [%s, %s] got %d, complete=%t, %d bytes %.80q, header %v, runs %s",
		asked.key, asked.kind, asked.mode, received.status, received.complete, len(received.body), received.body, received.header, describe(asked.runs))
	if id := received.header.Get("X-Attempt-Id"); id != asked.id && (id != "" || received.status < http.StatusMultipleChoices) && asked.id != "" {
		ledger.addFault(fmt.Sprintf("MIXED: identifier of another request or none, %s", way(asked, received)), "%s", described)
		return
	}
	stamps := received.header.Values("X-Server-Stamp")
	var own *run
	for index := range asked.runs {
		if len(stamps) == 1 && asked.runs[index].stamp == stamps[0] {
			own = &asked.runs[index]
		}
	}
	switch received.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		asked.refused = received.status
		if len(asked.runs) > 0 {
			ledger.addFault(fmt.Sprintf("REFUSED: has run, %s", way(asked, received)), "%s", described)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		if asked.mode != "gone mid-body" {
			ledger.addFault("DENIED", "%s", described)
		}
	}
	switch {
	case received.status >= http.StatusMultipleChoices:
		if own == nil && (!slices.Contains(entryFailures, received.status) || bytes.Contains(received.body, []byte(" of the run "))) {
			ledger.addFault(fmt.Sprintf("MIXED: a failure of another request, %s", way(asked, received)), "%s", described)
		} else if len(stamps) > 0 && (own == nil || own.status != received.status) {
			ledger.addFault("MIXED: a failure with a foreign stamp", "%s", described)
		}
	case own == nil:
		ledger.addFault(fmt.Sprintf("MIXED: a success without the stamp of a run, %s", way(asked, received)), "%s", described)
	case own.status != received.status:
		ledger.addFault("MIXED: a success where the server had failed", "%s", described)
	case asked.method == http.MethodHead && len(received.body) == 0:
	case received.complete && !bytes.Equal(received.body, own.body):
		ledger.addFault(fmt.Sprintf("MIXED: a success that is not the server's whole body, %s", way(asked, received)), "%s, want %d bytes", described, len(own.body))
	case !bytes.HasPrefix(own.body, received.body):
		ledger.addFault(fmt.Sprintf("MIXED: a part that is not the server's, %s", way(asked, received)), "%s", described)
	default:
		if received.complete {
			ledger.counts["whole successes"]++
		} else {
			ledger.counts["broken successes"]++
		}
	}
}

// way names the kind of caller and of bytes that it got.
func way(asked *asked, received received) string {
	bytesOf := "other bytes"
	switch {
	case received.status == http.StatusAccepted || received.status == http.StatusConflict || bytes.Contains(received.body, []byte(orderBody)):
		bytesOf = "an order's response"
	case bytes.Contains(received.body, []byte(`"handles"`)):
		bytesOf = "a report's bytes"
	case bytes.Contains(received.body, []byte(" of the run "+asked.key)):
		bytesOf = "its own server's bytes"
	case bytes.Contains(received.body, []byte(" of the run ")):
		bytesOf = "another request's bytes"
	case bytes.HasPrefix(received.body, []byte(`{"error":`)):
		bytesOf = "an entry's refusal"
	case len(received.body) == 0 && len(received.header) == 2 && received.header.Get("Date") != "" && received.header.Get("Content-Length") == "0":
		bytesOf = "an empty response"
	}
	caller := "caller sends and reads"
	if strings.Contains(asked.mode, "shuts down") || asked.mode == "gone mid-body" {
		caller = "caller that shut down its sending side"
	}
	if strings.HasPrefix(asked.mode, "HTTP/1.0") {
		caller += " in HTTP/1.0"
	}
	if asked.id == "" {
		caller += ", request without identifier"
	}
	return bytesOf + ", " + caller
}

func describe(runs []run) string {
	parts := []string{}
	for _, run := range runs {
		parts = append(parts, fmt.Sprintf("%s %d %s", run.server, run.status, run.stamp))
	}
	return "[" + strings.Join(parts, "; ") + "]"
}

// report logs the counters, and fails the test with every broken rule.
func (ledger *ledger) report(t *testing.T) {
	t.Helper()
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	names := []string{}
	for name := range ledger.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.Logf("%6d %s", ledger.counts[name], name)
	}
	classes := []string{}
	for class := range ledger.faults {
		classes = append(classes, class)
	}
	sort.Strings(classes)
	for _, class := range classes {
		cases := ledger.faults[class]
		t.Errorf("%d x %s, such as\n  %s", len(cases), class, strings.Join(cases[:min(len(cases), 3)], "\n  "))
	}
}
