package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the key-value service, or the removal of one.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// storeMode is how the key-value service treats calls.
type storeMode int

const (
	storeSound storeMode = iota
	storeSlow
	storeSilent
	storeRefusing
	// storeModes is the number of modes.
	storeModes
)

// keyValue stands in for the platform's key-value service.
type keyValue struct {
	server *httptest.Server
	// mutex guards all fields below.
	mutex    sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]storeLease
	changed  chan struct{}
	mode     storeMode
	moded    chan struct{}
	// era counts how often the service was restored from a copy, readings the lists of
	// all keys.
	era      int
	readings int
	// rewriting counts the restorations after which what was lost is not written again yet.
	// lastFailure is when the service last began to work.
	rewriting   int
	lastFailure time.Time
	// probed is when the probe that is under way began, or zero.
	probed time.Time
}

const (
	probeInterval = 200 * time.Millisecond
	// maxAnswerTime is the time after which a service that does not answer has failed.
	maxAnswerTime = time.Second
)

// probe calls the service over and over. On a busy machine the stand-ins may not run for
// seconds: entries cannot reach the service then, and servers read requests late.
func (keyValue *keyValue) probe(over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(probeInterval):
		}
		began := time.Now()
		keyValue.mutex.Lock()
		keyValue.probed = began
		keyValue.mutex.Unlock()
		if response, err := http.Get(keyValue.server.URL + "/kv-key?key=op/config"); err == nil {
			response.Body.Close()
		}
		keyValue.mutex.Lock()
		if keyValue.probed = (time.Time{}); time.Since(began) > maxAnswerTime {
			keyValue.lastFailure = time.Now()
		}
		keyValue.mutex.Unlock()
	}
}

// works reports whether the service answers with current data. The caller holds mutex.
func (keyValue *keyValue) works() bool {
	return keyValue.rewriting == 0 && (keyValue.mode == storeSound || keyValue.mode == storeSlow)
}

// failedAt returns the last time at which the service did not work.
func (keyValue *keyValue) failedAt() time.Time {
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	if !keyValue.works() || !keyValue.probed.IsZero() && time.Since(keyValue.probed) > maxAnswerTime {
		return time.Now()
	}
	return keyValue.lastFailure
}

// storeCopy is a copy of what the service holds.
type storeCopy struct {
	revision int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]storeLease
}

func (keyValue *keyValue) copy() storeCopy {
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	return storeCopy{
		revision: keyValue.revision, items: maps.Clone(keyValue.items), history: slices.Clone(keyValue.history), leases: maps.Clone(keyValue.leases),
	}
}

// restore replaces what the service holds by a copy. After a while, the operators and the
// servers write again what they wrote or removed since.
func (keyValue *keyValue) restore(from storeCopy, rewriteAfter time.Duration) {
	keyValue.mutex.Lock()
	lost := keyValue.items
	keyValue.revision, keyValue.items, keyValue.history, keyValue.leases = from.revision, from.items, from.history, from.leases
	keyValue.era++
	keyValue.rewriting++
	for id, lease := range keyValue.leases {
		lease.expires = time.Now().Add(lease.ttl)
		keyValue.leases[id] = lease
	}
	keyValue.mutex.Unlock()
	keyValue.setMode(storeSound)
	time.Sleep(rewriteAfter)
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	keyValue.rewriting--
	keyValue.lastFailure = time.Now()
	foreign := func(key string) bool { return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") }
	for key, item := range lost {
		if foreign(key) && keyValue.items[key].Revision <= from.revision && !bytes.Equal(keyValue.items[key].Value, item.Value) {
			keyValue.write(key, item.Value, 0, false)
		}
	}
	for key, item := range keyValue.items {
		if _, exists := lost[key]; foreign(key) && !exists && item.Revision <= from.revision {
			keyValue.write(key, nil, 0, true)
		}
	}
}

// readingCount returns how often all keys have been listed.
func (keyValue *keyValue) readingCount() int {
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	return keyValue.readings
}

func newKeyValue() *keyValue {
	keyValue := &keyValue{
		revision: 1, items: map[string]storeItem{}, leases: map[int64]storeLease{},
		changed: make(chan struct{}), moded: make(chan struct{}),
	}
	keyValue.server = httptest.NewServer(http.HandlerFunc(keyValue.serve))
	return keyValue
}

func (keyValue *keyValue) address() string {
	return keyValue.server.Listener.Addr().(*net.TCPAddr).String()
}

func (keyValue *keyValue) setMode(mode storeMode) {
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	if !keyValue.works() {
		keyValue.lastFailure = time.Now()
	}
	keyValue.mode = mode
	close(keyValue.moded)
	keyValue.moded = make(chan struct{})
}

// put writes an item as the operators or a server do; a nil value removes it.
func (keyValue *keyValue) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	if value == nil {
		keyValue.write(key, nil, 0, true)
	} else {
		keyValue.write(key, data, 0, false)
	}
}

// find returns the key of the item whose value contains text, or an empty string.
func (keyValue *keyValue) find(prefixes func(key string) bool, text string) string {
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	for key, item := range keyValue.items {
		if prefixes(key) && strings.Contains(string(item.Value), text) {
			return key
		}
	}
	return ""
}

// write changes an item. The caller holds mutex.
func (keyValue *keyValue) write(key string, value []byte, lease int64, remove bool) {
	old, exists := keyValue.items[key]
	if remove && !exists {
		return
	}
	keyValue.revision++
	item := storeItem{Key: key, Value: value, Revision: keyValue.revision, CreateRev: keyValue.revision, Lease: lease, Tombstone: remove}
	if exists && !remove {
		item.CreateRev = old.CreateRev
	}
	if remove {
		delete(keyValue.items, key)
	} else {
		keyValue.items[key] = item
	}
	keyValue.history = append(keyValue.history, item)
	close(keyValue.changed)
	keyValue.changed = make(chan struct{})
}

// expire ends leases that have run out. The caller holds mutex.
func (keyValue *keyValue) expire() {
	for lease, state := range keyValue.leases {
		if time.Now().After(state.expires) {
			keyValue.end(lease)
		}
	}
}

// end ends a lease. The caller holds mutex.
func (keyValue *keyValue) end(lease int64) {
	delete(keyValue.leases, lease)
	for key, item := range keyValue.items {
		if item.Lease == lease {
			keyValue.write(key, nil, 0, true)
		}
	}
}

func (keyValue *keyValue) serve(writer http.ResponseWriter, request *http.Request) {
	keyValue.mutex.Lock()
	mode, moded := keyValue.mode, keyValue.moded
	keyValue.mutex.Unlock()
	switch mode {
	case storeSlow:
		time.Sleep(time.Duration(rand.Int64N(int64(900 * time.Millisecond))))
	case storeSilent:
		select {
		case <-moded:
		case <-request.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case storeRefusing:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	keyValue.respond(writer, request)
}

// respond answers a call that reaches the service.
func (keyValue *keyValue) respond(writer http.ResponseWriter, request *http.Request) {
	status, answer, era := keyValue.answer(request)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", strconv.Itoa(era))
	writer.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

func (keyValue *keyValue) answer(request *http.Request) (status int, answer any, era int) {
	if request.Method == http.MethodGet && request.URL.Path == "/kv-watch" {
		return keyValue.watch(request)
	}
	keyValue.mutex.Lock()
	defer keyValue.mutex.Unlock()
	keyValue.expire()
	status, answer = keyValue.execute(request)
	return status, answer, keyValue.era
}

// execute answers a call other than a watch. The caller holds mutex.
func (keyValue *keyValue) execute(request *http.Request) (int, any) {
	query := request.URL.Query()
	path := request.Method + " " + request.URL.Path
	id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	lease, exists := keyValue.leases[id]
	switch {
	case path == "GET /kv-key":
		item, found := keyValue.items[query.Get("key")]
		if !found {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, struct {
			storeItem
			CurrentRev int64 `json:"currentRev"`
		}{item, keyValue.revision}
	case path == "GET /kv-range":
		if query.Get("pathPrefix") == "" {
			keyValue.readings++
		}
		items := []storeItem{}
		for key, item := range keyValue.items {
			if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
				items = append(items, item)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return http.StatusOK, map[string]any{"items": items, "truncated": false, "currentRev": keyValue.revision}
	case path == "POST /kv-txn":
		return keyValue.transact(request)
	case path == "POST /kv-lease":
		var body struct{ TTLMs int64 }
		if json.NewDecoder(request.Body).Decode(&body) != nil {
			return http.StatusBadRequest, nil
		}
		keyValue.revision++
		ttl := time.Duration(max(body.TTLMs, 1000)) * time.Millisecond
		keyValue.leases[keyValue.revision] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": keyValue.revision, "ttlMs": ttl.Milliseconds()}
	case !exists:
		return http.StatusNotFound, nil
	case strings.HasPrefix(path, "POST /kv-keep/"):
		lease.expires = time.Now().Add(lease.ttl)
		keyValue.leases[id] = lease
		return http.StatusOK, map[string]any{"ttlMs": lease.ttl.Milliseconds()}
	case strings.HasPrefix(path, "DELETE /kv-lease-end/"):
		keyValue.end(id)
		return http.StatusOK, map[string]any{}
	default:
		return http.StatusNotFound, nil
	}
}

// transact executes a transaction. The caller holds mutex.
func (keyValue *keyValue) transact(request *http.Request) (int, any) {
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
	current, holds := []storeItem{}, true
	for _, condition := range body.Precondition {
		item, found := keyValue.items[condition.Key]
		holds = holds && item.Revision == condition.Revision
		if found {
			current = append(current, item)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, item := range body.PutItems {
		if _, exists := keyValue.leases[item.Lease]; item.Lease != 0 && !exists {
			return http.StatusNotFound, nil
		}
	}
	for _, item := range body.PutItems {
		keyValue.write(item.Key, item.Value, item.Lease, false)
	}
	for _, key := range body.Remove {
		keyValue.write(key, nil, 0, true)
	}
	return http.StatusOK, map[string]any{"revision": keyValue.revision}
}

func (keyValue *keyValue) watch(request *http.Request) (status int, answer any, era int) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for ended := false; ; {
		keyValue.mutex.Lock()
		keyValue.expire()
		events := []storeItem{}
		first := sort.Search(len(keyValue.history), func(index int) bool { return keyValue.history[index].Revision > after })
		for _, item := range keyValue.history[first:] {
			if strings.HasPrefix(item.Key, query.Get("pathPrefix")) {
				events = append(events, item)
			}
		}
		revision, changed, moded, era := keyValue.revision, keyValue.changed, keyValue.moded, keyValue.era
		keyValue.mutex.Unlock()
		if after > revision {
			return http.StatusGone, nil, era
		}
		if len(events) > 0 || ended {
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}, era
		}
		select {
		case <-changed:
		case <-moded:
		case <-time.After(200 * time.Millisecond): // leases may have expired
		case <-until.C:
			ended = true
		case <-request.Context().Done():
			ended = true
		}
	}
}
