package soak_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// storeWay is the way of one process to the key-value service. While it is silent nothing
// passes, and calls that are in progress when it becomes silent are never answered.
type storeWay struct {
	keyValue *keyValue
	server   *httptest.Server
	// over ends the calls that are never answered.
	over chan struct{}
	// mutex guards the fields below.
	mutex sync.Mutex
	// silenced is closed when the way becomes silent.
	silenced chan struct{}
	silent   bool
}

func newStoreWay(t *testing.T, keyValue *keyValue) *storeWay {
	storeWay := &storeWay{keyValue: keyValue, over: make(chan struct{}), silenced: make(chan struct{})}
	storeWay.server = httptest.NewServer(http.HandlerFunc(storeWay.serve))
	t.Cleanup(func() {
		close(storeWay.over)
		storeWay.server.CloseClientConnections()
		storeWay.server.Close()
	})
	return storeWay
}

func (storeWay *storeWay) address() string { return storeWay.server.Listener.Addr().String() }

// setSilent silences the way, or lets new calls pass again.
func (storeWay *storeWay) setSilent(silent bool) {
	storeWay.mutex.Lock()
	defer storeWay.mutex.Unlock()
	if silent && !storeWay.silent {
		close(storeWay.silenced)
		storeWay.silenced = make(chan struct{})
	}
	storeWay.silent = silent
}

func (storeWay *storeWay) serve(writer http.ResponseWriter, request *http.Request) {
	storeWay.mutex.Lock()
	silent, silenced := storeWay.silent, storeWay.silenced
	storeWay.mutex.Unlock()
	if !silent && storeWay.pass(writer, request, silenced) {
		return
	}
	select {
	case <-storeWay.over:
	case <-request.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// pass has the service answer a call. It returns false if the way becomes silent before.
func (storeWay *storeWay) pass(writer http.ResponseWriter, request *http.Request, silenced <-chan struct{}) bool {
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		recorder := httptest.NewRecorder()
		storeWay.keyValue.respond(recorder, request)
		answered <- recorder
	}()
	select {
	case <-silenced:
		return false
	case recorder := <-answered:
		maps.Copy(writer.Header(), recorder.Header())
		writer.WriteHeader(recorder.Code)
		_, _ = writer.Write(recorder.Body.Bytes())
		return true
	}
}

// lookup is a request with a key and its answer's status.
type lookup struct {
	entry  *entry
	key    string
	sentAt time.Time
	status int
}

// Guards against revoked keys that are accepted for seconds behind a coordinator that is cut
// off from the store around a silent outage: its old revision hid that watches lagged.
func TestRevokedKeysAreRefusedBehindCutOffCoordinator(t *testing.T) {
	const (
		entries = 8
		outage  = 3 * time.Second
		cutFor  = 8 * time.Second
		// applyTime is the time within which a revocation has to be in force, contact the
		// time after an outage from which that holds.
		applyTime = 2 * time.Second
		contact   = 3 * time.Second
	)
	soak := newSoak(t)
	soak.modes = []string{"ordinary"}
	soak.addEntries(entries - len(soak.entries))
	soak.intercept = func(request *http.Request) (string, bool) {
		if request.URL.Path != "/"+string(kindLook)+"/revoke" {
			return "", false
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nfine", request.Header.Get("X-Attempt-Id")), true
	}
	keys := []string{"first-revoked-key", "second-revoked-key", tenantKey}
	soak.moreKeys = keys[:2]
	soak.publish(soak.random)
	for _, entry := range soak.entries {
		entry.way = newStoreWay(t, soak.store)
		entry.start()
	}
	soak.expectService()
	coordinator := soak.coordinator()
	lookups := soak.lookUp(t, keys)
	soak.pause(time.Second)

	for _, entry := range soak.entries {
		entry.way.setSilent(true)
	}
	cutAt := time.Now().Add(outage / 3)
	soak.pause(outage)
	for _, entry := range soak.entries {
		entry.way.setSilent(entry == coordinator)
	}
	judgedFrom := time.Now().Add(contact)
	revokedAt := map[string]time.Time{}
	for number, key := range keys[:2] {
		soak.pause(250 * time.Millisecond)
		soak.moreKeys = keys[number+1 : 2]
		soak.publish(soak.random)
		revokedAt[key] = time.Now()
	}
	soak.pause(time.Until(cutAt.Add(cutFor)))
	judgedUntil := time.Now()
	coordinator.way.setSilent(false)

	accepted, late := map[string]int{}, map[string]time.Duration{}
	for _, lookup := range lookups() {
		if lookup.entry == coordinator || lookup.status != http.StatusOK || lookup.sentAt.Before(judgedFrom) || lookup.sentAt.After(judgedUntil) {
			continue
		}
		if since := lookup.sentAt.Sub(revokedAt[lookup.key]); lookup.key == tenantKey || since > applyTime {
			accepted[lookup.key]++
			late[lookup.key] = max(late[lookup.key], since)
		}
	}
	t.Logf("accepted lookups by key: %v", accepted)
	if accepted[tenantKey] == 0 {
		t.Errorf("no lookup with the key that was kept was accepted")
	}
	for _, key := range keys[:2] {
		if accepted[key] > 0 {
			t.Errorf("%d lookups with %s were accepted, up to %v after it was revoked", accepted[key], key, late[key])
		}
	}
}

// lookUp sends lookups with each key to each entry over kept connections, until the returned
// function is called, which returns them.
func (soak *soak) lookUp(t *testing.T, keys []string) func() []lookup {
	const interval = 40 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var mutex sync.Mutex
	var lookups []lookup
	var callers sync.WaitGroup
	for _, entry := range soak.entries {
		for _, key := range keys {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for ; ctx.Err() == nil; soak.pause(interval) {
					request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.address(frontPort)+"/"+string(kindLook)+"/revoke", nil)
					if err != nil {
						t.Error(err)
						return
					}
					request.Host = callerHost
					request.Header.Set("Authorization", "Bearer "+key)
					request.Header.Set("X-Attempt-Id", strconv.FormatInt(soak.number.Add(1), 16))
					sent := lookup{entry: entry, key: key, sentAt: time.Now()}
					response, err := client.Do(request)
					if err != nil {
						continue
					}
					sent.status = response.StatusCode
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
					mutex.Lock()
					lookups = append(lookups, sent)
					mutex.Unlock()
				}
			})
		}
	}
	return func() []lookup {
		cancel()
		callers.Wait()
		return lookups
	}
}
