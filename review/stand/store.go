//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the key-value service, or the removal of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store stands in for the platform's key-value service. It is always sound.
type store struct {
	listener net.Listener
	// mutex guards all fields below.
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &store{
		listener: listener, revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(store.serve)) }()
	return store, nil
}

func (store *store) address() string { return store.listener.Addr().String() }

// put writes an item as the operator or a server does; a nil value removes it.
func (store *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(key, data, 0, value == nil)
}

// coordinator returns the value that the elected entry has published.
func (store *store) coordinator() string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for key, item := range store.items {
		if strings.HasSuffix(key, "/coordinator") {
			return string(item.Value)
		}
	}
	return ""
}

// write changes an item. The caller holds mutex.
func (store *store) write(key string, value []byte, lease int64, remove bool) {
	old, exists := store.items[key]
	if remove && !exists {
		return
	}
	store.revision++
	written := item{Key: key, Value: value, Revision: store.revision, CreateRev: store.revision, Lease: lease, Tombstone: remove}
	if exists && !remove {
		written.CreateRev = old.CreateRev
	}
	if remove {
		delete(store.items, key)
	} else {
		store.items[key] = written
	}
	store.history = append(store.history, written)
	close(store.changed)
	store.changed = make(chan struct{})
}

// expire ends leases that have run out. The caller holds mutex.
func (store *store) expire() {
	for id, lease := range store.leases {
		if time.Now().After(lease.expires) {
			store.end(id)
		}
	}
}

// end ends a lease. The caller holds mutex.
func (store *store) end(id int64) {
	delete(store.leases, id)
	for key, item := range store.items {
		if item.Lease == id {
			store.write(key, nil, 0, true)
		}
	}
}

func (store *store) serve(writer http.ResponseWriter, request *http.Request) {
	var status int
	var answer any
	if request.Method == http.MethodGet && request.URL.Path == "/kv-watch" {
		status, answer = store.watch(request)
	} else {
		store.mutex.Lock()
		store.expire()
		status, answer = store.execute(request)
		store.mutex.Unlock()
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", "0")
	writer.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

// execute answers a call other than a watch. The caller holds mutex.
func (store *store) execute(request *http.Request) (int, any) {
	query := request.URL.Query()
	path := request.Method + " " + request.URL.Path
	id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	known, exists := store.leases[id]
	switch {
	case path == "GET /kv-key":
		found, exists := store.items[query.Get("key")]
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, struct {
			item
			CurrentRev int64 `json:"currentRev"`
		}{found, store.revision}
	case path == "GET /kv-range":
		items := []item{}
		for key, item := range store.items {
			if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
				items = append(items, item)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return http.StatusOK, map[string]any{"items": items, "truncated": false, "currentRev": store.revision}
	case path == "POST /kv-txn":
		return store.transact(request)
	case path == "POST /kv-lease":
		var body struct{ TTLMs int64 }
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
		known.expires = time.Now().Add(known.ttl)
		store.leases[id] = known
		return http.StatusOK, map[string]any{"ttlMs": known.ttl.Milliseconds()}
	case strings.HasPrefix(path, "DELETE /kv-lease-end/"):
		store.end(id)
		return http.StatusOK, map[string]any{}
	default:
		return http.StatusNotFound, nil
	}
}

// transact executes a transaction. The caller holds mutex.
func (store *store) transact(request *http.Request) (int, any) {
	var body struct {
		Precondition []struct {
			Key      string
			Revision int64
		}
		PutItems []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)}
	}
	current, holds := []item{}, true
	for _, condition := range body.Precondition {
		item, found := store.items[condition.Key]
		holds = holds && item.Revision == condition.Revision
		if found {
			current = append(current, item)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range body.PutItems {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if _, exists := store.leases[put.Lease]; put.Lease != 0 && !exists {
			return http.StatusNotFound, nil
		}
	}
	for _, put := range body.PutItems {
		store.write(put.Key, put.Value, put.Lease, false)
	}
	for _, key := range body.Remove {
		store.write(key, nil, 0, true)
	}
	return http.StatusOK, map[string]any{"revision": store.revision}
}

// watch answers a watch as soon as there is a change, or at the end of its wait.
func (store *store) watch(request *http.Request) (int, any) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for ended := false; ; {
		store.mutex.Lock()
		store.expire()
		events := []item{}
		first := sort.Search(len(store.history), func(index int) bool { return store.history[index].Revision > after })
		for _, item := range store.history[first:] {
			if strings.HasPrefix(item.Key, query.Get("pathPrefix")) {
				events = append(events, item)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 || ended {
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // leases may have expired
		case <-until.C:
			ended = true
		case <-request.Context().Done():
			ended = true
		}
	}
}
