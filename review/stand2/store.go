//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the removal of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// kv stands in for the platform's metadata store.
type kv struct {
	server *httptest.Server
	// mutex guards all below.
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
}

func newKV() *kv {
	store := &kv{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	store.server = httptest.NewServer(http.HandlerFunc(store.serve))
	return store
}

func (store *kv) address() string { return store.server.Listener.Addr().String() }

// put writes an item as the operator or a server does; a nil value removes it.
func (store *kv) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if value == nil {
		data = nil
	}
	store.write(key, data, 0)
}

// read returns the value of an item, or nil.
func (store *kv) read(key string) []byte {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	return store.items[key].Value
}

// write changes an item; a nil value removes it. The caller holds mutex.
func (store *kv) write(key string, value []byte, leaseID int64) {
	old, exists := store.items[key]
	if value == nil && !exists {
		return
	}
	store.revision++
	written := item{Key: key, Value: value, Revision: store.revision, CreateRev: store.revision, Lease: leaseID, Tombstone: value == nil}
	if exists && value != nil {
		written.CreateRev = old.CreateRev
	}
	if value == nil {
		delete(store.items, key)
	} else {
		store.items[key] = written
	}
	store.history = append(store.history, written)
	close(store.changed)
	store.changed = make(chan struct{})
}

// expire ends leases that have run out. The caller holds mutex.
func (store *kv) expire() {
	for id, state := range store.leases {
		if time.Now().After(state.expires) {
			store.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds mutex.
func (store *kv) endLease(id int64) {
	delete(store.leases, id)
	for key, each := range store.items {
		if each.Lease == id {
			store.write(key, nil, 0)
		}
	}
}

func (store *kv) serve(writer http.ResponseWriter, request *http.Request) {
	var status int
	var answer any
	if request.URL.Path == "/kv-watch" {
		status, answer = store.watch(request)
	} else {
		store.mutex.Lock()
		store.expire()
		status, answer = store.execute(request)
		store.mutex.Unlock()
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

// execute answers a call other than a watch. The caller holds mutex.
func (store *kv) execute(request *http.Request) (int, any) {
	query, path := request.URL.Query(), request.Method+" "+request.URL.Path
	id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	held, exists := store.leases[id]
	switch {
	case path == "GET /kv-key":
		found, exists := store.items[query.Get("key")]
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, found
	case path == "GET /kv-range":
		items := []item{}
		for key, each := range store.items {
			if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
				items = append(items, each)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return http.StatusOK, map[string]any{"items": items, "truncated": false, "currentRev": store.revision}
	case path == "POST /kv-txn":
		return store.transact(request)
	case path == "POST /kv-lease":
		var body struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(request.Body).Decode(&body) != nil {
			return http.StatusBadRequest, nil
		}
		store.revision++
		ttl := time.Duration(max(body.TTLMs, 1000)) * time.Millisecond
		store.leases[store.revision] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": store.revision, "ttlMs": ttl.Milliseconds()}
	case !exists:
		return http.StatusNotFound, nil
	case strings.HasPrefix(path, "POST /kv-keep/"):
		held.expires = time.Now().Add(held.ttl)
		store.leases[id] = held
		return http.StatusOK, map[string]any{"ttlMs": held.ttl.Milliseconds()}
	case strings.HasPrefix(path, "DELETE /kv-lease-end/"):
		store.endLease(id)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, nil
}

// transact executes a transaction. The caller holds mutex.
func (store *kv) transact(request *http.Request) (int, any) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		PutItems []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"putItems"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	current, holds := []item{}, true
	for _, condition := range body.Precondition {
		found, exists := store.items[condition.Key]
		holds = holds && found.Revision == condition.Revision
		if exists {
			current = append(current, found)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, each := range body.PutItems {
		if _, exists := store.leases[each.Lease]; each.Lease != 0 && !exists {
			return http.StatusNotFound, nil
		}
	}
	for _, each := range body.PutItems {
		store.write(each.Key, each.Value, each.Lease)
	}
	for _, key := range body.Remove {
		store.write(key, nil, 0)
	}
	return http.StatusOK, map[string]any{"revision": store.revision}
}

func (store *kv) watch(request *http.Request) (int, any) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for ended := false; ; {
		store.mutex.Lock()
		store.expire()
		events := []item{}
		for _, each := range store.history {
			if each.Revision > after && strings.HasPrefix(each.Key, query.Get("pathPrefix")) {
				events = append(events, each)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 || ended {
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}
		}
		select {
		case <-changed:
		case <-until.C:
			ended = true
		case <-time.After(100 * time.Millisecond):
		case <-request.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}
