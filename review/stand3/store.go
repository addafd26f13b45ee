//go:build review3

package main

import (
	"encoding/json"
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
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// pageItems is the number of items in a page of a list.
const pageItems = 500

// store stands in for the platform's key-value service.
type store struct {
	server *http.Server
	addr   string
	mutex  sync.Mutex
	// revision is the last change, history all changes.
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
	// cuts is closed and replaced to cut the watches that are waiting, of which cut were.
	cuts chan struct{}
	cut  int
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &store{
		addr: listener.Addr().String(), revision: 1, items: map[string]item{}, leases: map[int64]lease{},
		changed: make(chan struct{}), cuts: make(chan struct{}),
	}
	store.server = &http.Server{Handler: http.HandlerFunc(store.serve)}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// put writes an item as an operator or a server does.
func (store *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(key, data, 0, false)
}

// remove removes an item as an operator or the service does.
func (store *store) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(key, nil, 0, true)
}

// cutWatches cuts the watches that are waiting and returns how many have been cut before.
func (store *store) cutWatches() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	close(store.cuts)
	store.cuts = make(chan struct{})
	return store.cut
}

// write changes an item. The caller holds mutex.
func (store *store) write(key string, value []byte, leaseID int64, remove bool) {
	old, exists := store.items[key]
	if remove && !exists {
		return
	}
	store.revision++
	next := item{Key: key, Value: value, Revision: store.revision, CreateRev: store.revision, Lease: leaseID, Tombstone: remove}
	if exists && !remove {
		next.CreateRev = old.CreateRev
	}
	if remove {
		next.CreateRev = 0
		delete(store.items, key)
	} else {
		store.items[key] = next
	}
	store.history = append(store.history, next)
	close(store.changed)
	store.changed = make(chan struct{})
}

// expire ends the leases that have run out. The caller holds mutex.
func (store *store) expire() {
	for id, state := range store.leases {
		if time.Now().After(state.expires) {
			store.end(id)
		}
	}
}

func (store *store) end(id int64) {
	delete(store.leases, id)
	for key, each := range store.items {
		if each.Lease == id {
			store.write(key, nil, 0, true)
		}
	}
}

func (store *store) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/kv-watch" {
		store.watch(writer, request)
		return
	}
	store.mutex.Lock()
	store.expire()
	status, answer := store.execute(request)
	store.mutex.Unlock()
	reply(writer, status, answer)
}

func reply(writer http.ResponseWriter, status int, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

// execute answers a call other than a watch. The caller holds mutex.
func (store *store) execute(request *http.Request) (int, any) {
	query := request.URL.Query()
	call := request.Method + " " + request.URL.Path
	id, _ := strconv.ParseInt(call[strings.LastIndex(call, "/")+1:], 10, 64)
	state, exists := store.leases[id]
	switch {
	case call == "GET /kv-key":
		found, ok := store.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, struct {
			item
			CurrentRev int64 `json:"currentRev"`
		}{found, store.revision}
	case call == "GET /kv-range":
		listed := []item{}
		for key, each := range store.items {
			if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
				listed = append(listed, each)
			}
		}
		sort.Slice(listed, func(i, j int) bool { return listed[i].Key < listed[j].Key })
		truncated := len(listed) > pageItems
		listed = listed[:min(len(listed), pageItems)]
		return http.StatusOK, map[string]any{"items": listed, "truncated": truncated, "currentRev": store.revision}
	case call == "POST /kv-txn":
		return store.transact(request)
	case call == "POST /kv-lease":
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
	case strings.HasPrefix(call, "POST /kv-keep/"):
		state.expires = time.Now().Add(state.ttl)
		store.leases[id] = state
		return http.StatusOK, map[string]any{"ttlMs": state.ttl.Milliseconds()}
	case strings.HasPrefix(call, "DELETE /kv-lease-end/"):
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
		found, ok := store.items[condition.Key]
		holds = holds && found.Revision == condition.Revision
		if ok {
			current = append(current, found)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, each := range body.PutItems {
		if _, ok := store.leases[each.Lease]; each.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, each := range body.PutItems {
		store.write(each.Key, each.Value, each.Lease, false)
	}
	for _, key := range body.Remove {
		store.write(key, nil, 0, true)
	}
	return http.StatusOK, map[string]any{"revision": store.revision}
}

// watch answers a watch, and closes its connection after the answer.
func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	writer.Header().Set("Connection", "close")
	store.mutex.Lock()
	cuts := store.cuts
	store.mutex.Unlock()
	for ended := false; ; {
		store.mutex.Lock()
		store.expire()
		events := []item{}
		first := sort.Search(len(store.history), func(index int) bool { return store.history[index].Revision > after })
		for _, each := range store.history[first:] {
			if strings.HasPrefix(each.Key, query.Get("pathPrefix")) {
				events = append(events, each)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 || ended {
			reply(writer, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-until.C:
			ended = true
		case <-time.After(100 * time.Millisecond):
			// Leases may have run out.
		case <-cuts:
			store.mutex.Lock()
			store.cut++
			store.mutex.Unlock()
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
	}
}
