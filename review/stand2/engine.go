//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// firstToken is the time until a runner begins to write: to read a prompt of 6,800 tokens at 38.4 a ms takes 180 ms,
	// the rest is that of other requests in its batch.
	firstToken = 600 * time.Millisecond
	// eventGap is the time between two events of a stream.
	eventGap = 50 * time.Millisecond
	// restartTime is how long a runner that has crashed is away.
	restartTime = 4 * time.Second
	// heartbeat is the period of the runners' entries in the store.
	heartbeat = 1200 * time.Millisecond
	loadTime  = 1200 * time.Millisecond
)

// engine stands in for a model runner. It restarts under another id and at another address, as its former port may be in use by then.
type engine struct {
	fleet   *fleet
	name    string
	address string
	// begins is called when a request begins to run, and says how many events its answer has and
	// whether the runner crashes at the first.
	begins func(engine *engine, request *http.Request) (events int, crashes bool)
	// mutex guards all below.
	mutex    sync.Mutex
	starts   int
	id       string
	born     int64
	seq      int64
	fence    int64
	busy     bool
	models   []string
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// serveEngine starts a model runner that holds models.
func (fleet *fleet) serveEngine(name string, models []string, begins func(*engine, *http.Request) (int, bool)) *engine {
	engine := &engine{fleet: fleet, name: name, begins: begins}
	engine.start(models)
	return engine
}

// start begins an incarnation and its heartbeats.
func (engine *engine) start(models []string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("a runner can't listen: %v", err)
	}
	engine.mutex.Lock()
	engine.starts++
	engine.address, engine.listener = listener.Addr().String(), listener
	engine.id, engine.born = fmt.Sprintf("i-%s-%d", engine.name, engine.starts), time.Now().UnixMilli()
	engine.seq, engine.fence, engine.busy, engine.models, engine.conns = 0, 0, false, models, map[net.Conn]struct{}{}
	id := engine.id
	engine.mutex.Unlock()
	engine.fleet.record.line("runner %s starts with models %v", id, models)
	go func() {
		for engine.beat(id) {
			time.Sleep(heartbeat)
		}
		// The entry of a runner that is silent is removed after three heartbeats.
		time.Sleep(2 * heartbeat)
		engine.fleet.store.put("servers/"+id, nil)
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			engine.mutex.Lock()
			engine.conns[conn] = struct{}{}
			engine.mutex.Unlock()
			go engine.handle(conn, id)
		}
	}()
}

// beat writes the runner's entry, and reports whether the incarnation still runs.
func (engine *engine) beat(id string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.id != id {
		return false
	}
	engine.fleet.store.put("servers/"+id, map[string]any{
		"service": "lm", "address": engine.address, "zone": "zone-a", "version": "v1", "slots": 32, "state": "ready", "coldLeftMs": 0,
		"seq": time.Now().UnixMilli(), "born": engine.born, "stage": "unified", "models": engine.resident(),
	})
	return true
}

// resident lists the models. The caller holds mutex.
func (engine *engine) resident() []map[string]any {
	resident := []map[string]any{}
	for _, model := range engine.models {
		resident = append(resident, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return resident
}

// crash ends the incarnation: its connections are reset, and it starts again, empty, after restartTime.
func (engine *engine) crash() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.id = ""
	engine.listener.Close()
	for conn := range engine.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	time.AfterFunc(restartTime, func() { engine.start(nil) })
}

func (engine *engine) current(id string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.id == id
}

func (engine *engine) handle(conn net.Conn, id string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !engine.current(id) {
			return
		}
		attempt := request.Header.Get("X-Attempt-Id")
		engine.mutex.Lock()
		holds := slices.Contains(engine.models, request.Header.Get("X-Model"))
		engine.mutex.Unlock()
		switch {
		case request.Header.Get("X-Expect-Instance") != id, request.URL.Path != "/order" && request.URL.Path != "/report" && !holds:
			reply(conn, http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\nX-Attempt-Id: "+attempt+"\r\n", nil)
		case request.URL.Path == "/order":
			reply(conn, engine.order(body), "", nil)
		case request.URL.Path == "/report":
			reply(conn, http.StatusOK, "Content-Type: application/json\r\n", engine.report())
		case !engine.stream(conn, id, request):
			return
		}
	}
}

func reply(conn net.Conn, status int, header string, body []byte) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

func (engine *engine) report() []byte {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	data, err := json.Marshal(map[string]any{
		"stage": "unified", "models": engine.resident(), "busy": engine.busy, "seq": engine.seq, "waiting": 0, "running": 1, "kvUsed": 1000, "kvTotal": 150000, "handles": 0, "born": engine.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// order carries out an order as the pages say.
func (engine *engine) order(body []byte) int {
	var order struct {
		Opcode       string `json:"opcode"`
		Model        string `json:"model"`
		Precondition *int64 `json:"precondition"`
		Holder       string `json:"holder"`
		FenceToken   int64  `json:"fenceToken"`
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.FenceToken == 0 {
		return http.StatusBadRequest
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	held := slices.Contains(engine.models, order.Model)
	switch {
	case order.FenceToken < engine.fence:
		return http.StatusPreconditionFailed
	case engine.busy || order.Precondition != nil && *order.Precondition != engine.seq:
		return http.StatusConflict
	case held == (order.Opcode == "load"):
		return http.StatusOK
	}
	engine.fence = order.FenceToken
	engine.seq++
	engine.fleet.record.line("runner %s takes the order to %s %s from %s", engine.id, order.Opcode, order.Model, order.Holder)
	if order.Opcode == "unload" {
		engine.models = slices.DeleteFunc(slices.Clone(engine.models), func(model string) bool { return model == order.Model })
		return http.StatusAccepted
	}
	engine.busy = true
	id := engine.id
	time.AfterFunc(loadTime, func() {
		engine.mutex.Lock()
		loaded := engine.id == id
		if loaded {
			engine.busy, engine.models = false, append(slices.Clone(engine.models), order.Model)
		}
		engine.mutex.Unlock()
		if loaded {
			engine.beat(id)
		}
	})
	return http.StatusAccepted
}

// stream runs a request, and reports whether the connection is kept.
func (engine *engine) stream(conn net.Conn, id string, request *http.Request) bool {
	attempt := request.Header.Get("X-Attempt-Id")
	time.Sleep(firstToken)
	if !engine.current(id) {
		return false
	}
	events, crashes := engine.begins(engine, request)
	if crashes {
		engine.crash()
		return false
	}
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, id, attempt)
	for number := range events {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", number+1, number+1)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
		if _, err := io.WriteString(conn, text.String()); err != nil || !engine.current(id) {
			return false
		}
		text.Reset()
		time.Sleep(eventGap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
