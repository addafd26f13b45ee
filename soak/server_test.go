package soak_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	engineService = "draft-engine"
	lookService   = "look-desk"
	spareService  = "look-spare"
	orderService  = "order-desk"
	// orderBody is in the body of the responses to some orders.
	orderBody = `"order":`
	// skippedBytes is more than entries skip of a response to another request.
	skippedBytes = 1<<20 + 4<<10
	// earlyBytes is the length of a body above which servers may answer before they have
	// read it.
	earlyBytes = 8 << 10
)

var engineModels = []string{"alder", "birch"}

// backend stands in for a backend server. It keeps its address when it becomes another
// incarnation or a server of another service.
type backend struct {
	soak     *soak
	listener net.Listener
	random   *random
	// stutters is how likely it writes an earlier response again.
	stutters float64
	// usual is the service to which it belongs unless another has its address.
	usual string
	// home is the model that an engine holds at its start.
	home string
	// zone is its failure domain.
	zone string
	// mutex guards all fields below.
	mutex    sync.Mutex
	id       string
	service  string
	born     int64
	draining bool
	gone     bool
	accepted int64
	models   []string
	adapters []string
	conns    map[net.Conn]bool
	cold     coldPeriod
}

func newBackend(soak *soak, service string, number int) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		soak.t.Fatal(err)
	}
	backend := &backend{
		soak: soak, listener: listener, random: soak.random.fork(), usual: service, conns: map[net.Conn]bool{},
		home: engineModels[number%len(engineModels)], zone: zoneNames[number%(len(zoneNames)-1)],
	}
	if number == 15 {
		backend.zone = zoneNames[len(zoneNames)-1]
	}
	if number%3 != 2 {
		backend.stutters = 0.3
	}
	backend.reincarnate(service, true)
	go backend.accept()
	if service == coldService {
		go backend.renew()
	}
	return backend
}

// reincarnate starts the server again, with a new identifier if renamed is set, and
// registers it. Open connections stay, as an address that is reused may have some.
func (backend *backend) reincarnate(service string, renamed bool) {
	backend.mutex.Lock()
	old := backend.id
	if renamed {
		backend.id = fmt.Sprintf("i-%08x", backend.random.Uint32())
	}
	backend.service, backend.born, backend.draining, backend.gone = service, time.Now().UnixMilli(), false, false
	backend.accepted, backend.models, backend.adapters = 0, []string{backend.home}, nil
	backend.cold = coldPeriod{}
	if service == coldService {
		now := time.Now()
		backend.cold = coldPeriod{cause: fmt.Sprintf("started, renamed=%t", renamed), since: now, until: now.Add(coldStart)}
	}
	backend.mutex.Unlock()
	if renamed && old != "" {
		backend.soak.store.put("servers/"+old, nil)
	}
	backend.register()
}

// leave drains the server if drain is set, and removes it; a crash closes its connections.
func (backend *backend) leave(drain bool) {
	if drain {
		backend.mutex.Lock()
		backend.draining = true
		backend.mutex.Unlock()
		backend.register()
		backend.soak.pause(2 * time.Second)
	}
	backend.mutex.Lock()
	backend.gone = true
	id := backend.id
	for conn := range backend.conns {
		conn.Close()
	}
	backend.soak.store.put("servers/"+id, nil)
	backend.mutex.Unlock()
}

// register writes the server's entry of the registry.
func (backend *backend) register() {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if backend.gone {
		return
	}
	state := "ready"
	if backend.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": backend.service, "address": backend.listener.Addr().String(), "zone": backend.zone, "version": "v1", "slots": 16,
		"state": state, "coldLeftMs": max(time.Until(backend.cold.until).Milliseconds(), 0), "born": backend.born, "seq": time.Now().UnixMilli(),
	}
	if backend.service == engineService {
		entry["stage"], entry["models"] = "unified", backend.held()
	}
	backend.soak.store.put("servers/"+backend.id, entry)
}

// held describes what an engine holds. The caller holds mutex.
func (backend *backend) held() []map[string]any {
	held := []map[string]any{}
	for _, model := range backend.models {
		adapters := []string{}
		for _, adapter := range backend.adapters {
			if name, found := strings.CutPrefix(adapter, model+"/"); found {
				adapters = append(adapters, name)
			}
		}
		held = append(held, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	return held
}

func (backend *backend) accept() {
	for {
		conn, err := backend.listener.Accept()
		if err != nil {
			return
		}
		backend.mutex.Lock()
		refused := backend.gone
		if !refused {
			backend.conns[conn] = true
		}
		backend.mutex.Unlock()
		if refused {
			conn.Close()
			continue
		}
		go func() {
			defer conn.Close()
			(&serverConn{backend: backend, conn: conn, reader: bufio.NewReader(conn), random: backend.random.fork()}).serve()
			backend.mutex.Lock()
			delete(backend.conns, conn)
			backend.mutex.Unlock()
		}()
	}
}

// answer is a response that a server writes.
type answer struct {
	status int
	header string
	body   string
	// chunks makes the body be sent in chunks, with a pause in between; endless sends it
	// without a length and closes the connection after it.
	chunks  int
	pause   time.Duration
	endless bool
	head    bool
	// broken breaks the response off before its last byte, with a reset if reset is set.
	broken bool
	reset  bool
}

// bytes returns the response in one piece with a length.
func (answer answer) bytes(extraHeader string) string {
	body := answer.body
	if answer.head {
		body = ""
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", answer.status, http.StatusText(answer.status), answer.header, extraHeader, len(answer.body), body)
}

// serverConn is a connection to a backend server.
type serverConn struct {
	backend *backend
	conn    net.Conn
	reader  *bufio.Reader
	random  *random
	// earlier are the responses that were written before.
	earlier []answer
}

func (serverConn *serverConn) write(text string) bool {
	_, err := io.WriteString(serverConn.conn, text)
	return err == nil
}

func (serverConn *serverConn) serve() {
	random, backend := serverConn.random, serverConn.backend
	for {
		request, err := http.ReadRequest(serverConn.reader)
		if err != nil {
			return
		}
		early := request.ContentLength > earlyBytes && random.IntN(3) == 0
		var body []byte
		if !early {
			if body, err = io.ReadAll(request.Body); err != nil {
				return
			}
		}
		if intercept := backend.soak.intercept; intercept != nil {
			if response, known := intercept(request); known {
				if !serverConn.write(response) {
					return
				}
				continue
			}
		}
		answer, known := serverConn.answer(request, body)
		if !known {
			return
		}
		if random.Float64() < backend.stutters && len(serverConn.earlier) > 0 {
			serverConn.write(serverConn.late())
		}
		if random.Float64() < 0.1 {
			backend.soak.pause(time.Duration(random.IntN(200)) * time.Millisecond)
		}
		if !serverConn.send(answer) || (early && !serverConn.readOn(request)) {
			return
		}
		serverConn.earlier = append(serverConn.earlier, answer)
		if random.Float64() >= backend.stutters/2 {
			continue
		}
		// The second response comes at once, while the connection is idle, or about when
		// the next request is written.
		if random.IntN(2) == 0 {
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		}
		serverConn.write(serverConn.late())
	}
}

// readOn reads the body of a request that has been answered, and reports whether it came
// whole.
func (serverConn *serverConn) readOn(request *http.Request) bool {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	serverConn.backend.soak.ledger.checkBody(request, body)
	return true
}

// send writes a response and reports whether the connection goes on.
func (serverConn *serverConn) send(answer answer) bool {
	random := serverConn.random
	text := answer.bytes("")
	if answer.endless {
		text = fmt.Sprintf("HTTP/1.1 %d OK\r\n%sConnection: close\r\n\r\n%s", answer.status, answer.header, answer.body)
	}
	if answer.chunks == 0 || answer.head {
		if !answer.broken || answer.head {
			return serverConn.write(text) && !answer.endless
		}
		if answer.endless {
			// The server may leave, and close its connections, before it breaks off itself.
			answer.reset = true
			_ = serverConn.conn.(*net.TCPConn).SetLinger(0)
		}
		serverConn.write(text[:len(text)-1-random.IntN(len(answer.body))])
		return serverConn.breakOff(answer)
	}
	serverConn.write(fmt.Sprintf("HTTP/1.1 %d OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", answer.status, answer.header))
	rest := answer.body
	size := len(rest)/answer.chunks + 1
	for len(rest) > 0 {
		piece := rest[:min(size, len(rest))]
		rest = rest[len(piece):]
		if answer.broken && (len(rest) == 0 || random.IntN(answer.chunks) == 0) {
			serverConn.write(fmt.Sprintf("%x\r\n%s", len(piece), piece[:random.IntN(len(piece))]))
			return serverConn.breakOff(answer)
		}
		if !serverConn.write(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)) {
			return false
		}
		if len(rest) > 0 && len(serverConn.earlier) > 0 && random.Float64() < serverConn.backend.stutters/20 {
			serverConn.write(serverConn.late())
		}
		if answer.pause > 0 {
			time.Sleep(answer.pause)
		}
	}
	return serverConn.write("0\r\n\r\n")
}

func (serverConn *serverConn) breakOff(answer answer) bool {
	if answer.reset {
		time.Sleep(time.Millisecond)
		_ = serverConn.conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// late returns an earlier response of the connection in one of the forms in which it may
// come once more.
func (serverConn *serverConn) late() string {
	random := serverConn.random
	answer := serverConn.earlier[random.IntN(len(serverConn.earlier))]
	form := random.IntN(15)
	if serverConn.backend.soak.splices && random.IntN(4) == 0 {
		form = 20 + random.IntN(3)
	}
	answer.head = answer.head && form == 14
	serverConn.backend.soak.ledger.count(fmt.Sprintf("late responses of form %02d", form))
	text := answer.bytes("")
	refusal := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest}[random.IntN(4)]
	switch form {
	case 0:
		return text[:len(text)-(len(answer.body)+1)/2]
	case 1:
		return fmt.Sprintf("HTTP/1.1 %d OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", answer.status, answer.header, len(answer.body)+1, answer.body+" ")
	case 2:
		return fmt.Sprintf("HTTP/1.1 %d OK\r\n%s\r\n%s", answer.status, answer.header, answer.body)
	case 3:
		answer.body += strings.Repeat(" ", skippedBytes)
		return answer.bytes("")
	case 4, 5:
		return fmt.Sprintf("HTTP/1.1 %d No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", refusal)
	case 6:
		return fmt.Sprintf("HTTP/1.1 %d No\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", refusal, answer.header)
	case 7:
		return fmt.Sprintf("HTTP/1.1 %d Wait\r\n%s\r\n", http.StatusEarlyHints, answer.header)
	case 8:
		answer.head = true
		return answer.bytes("")
	case 9:
		return answer.bytes("X-Attempt-Id: another\r\n")
	case 10:
		return answer.bytes("Content-Length: 1\r\n")
	case 11:
		answer.header = ""
		return answer.bytes("")
	case 12:
		answer.header = "X-Server-Stamp: unnamed\r\n"
		return answer.bytes("")
	case 13:
		return text + text
	case 20:
		// The status line of the next response becomes the end of a header's value.
		return fmt.Sprintf("HTTP/1.1 %d No\r\nX-Not-Executed: ", refusal)
	case 22:
		return "HTTP/1.1 200 O"
	case 21:
		return "HTTP/1.1 200 OK\r\nContent-Type: te"
	default:
		return text
	}
}

// answer returns the response to a request. If it is not known, the connection is closed.
func (serverConn *serverConn) answer(request *http.Request, body []byte) (answer, bool) {
	backend, random := serverConn.backend, serverConn.random
	backend.mutex.Lock()
	id, service := backend.id, backend.service
	held := append(slices.Clone(backend.models), backend.adapters...)
	backend.mutex.Unlock()
	echo := ""
	if request.Header.Get(keyHeader) != "" && request.Header.Get("X-Attempt-Id") != "" {
		echo = "X-Attempt-Id: " + request.Header.Get("X-Attempt-Id") + "\r\n"
	}
	refuse := func(status int) (answer, bool) {
		backend.soak.ledger.count(fmt.Sprintf("refusals by servers %d", status))
		return answer{status: status, header: echo + "X-Not-Executed: 1\r\n"}, true
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != id {
		return refuse(http.StatusMisdirectedRequest)
	}
	backend.checkCold(time.Now())
	backend.checkEvacuated(request, time.Now())
	if service == engineService && request.RequestURI == "/report" {
		return backend.report(), true
	}
	if service == engineService && request.RequestURI == "/order" {
		return backend.order(body, random), true
	}
	if service == engineService && !slices.Contains(held, request.Header.Get("X-Model")) {
		return refuse(http.StatusMisdirectedRequest)
	}
	switch random.IntN(40) {
	case 0:
		return refuse(http.StatusServiceUnavailable)
	case 1:
		return refuse(http.StatusTooManyRequests)
	}
	var planned answer
	begun := backend.soak.ledger.begin(id, service, backend.zone, request, body, func(asked *asked, number int) run {
		var run run
		run, planned = planRun(request, asked, number, random)
		return run
	})
	if begun == nil {
		return answer{}, false
	}
	planned.header = echo + "X-Server-Stamp: " + begun.stamp + "\r\n"
	planned.head = request.Method == http.MethodHead
	if service == engineService {
		planned.header += fmt.Sprintf("X-Instance-Load: %d,%d,16,%d\r\n", 1+random.IntN(4), random.IntN(2), 80+random.IntN(60))
	}
	if random.IntN(60) == 0 {
		// The request has run, and its response is lost, at times without a sign of it.
		if random.IntN(3) == 0 {
			backend.soak.pause(time.Duration(random.IntN(6000)) * time.Millisecond)
		}
		return answer{}, false
	}
	return planned, true
}

// planRun draws the response of a run.
func planRun(request *http.Request, asked *asked, number int, random *random) (run, answer) {
	stamp := fmt.Sprintf("%s.%d.%08x", asked.key, number, random.Uint32())
	planned := answer{status: http.StatusOK, broken: random.IntN(15) == 0, reset: random.IntN(2) == 0}
	if asked.kind.streaming() {
		total := 3 + len(asked.key)%7 + int(asked.key[len(asked.key)-1])%9
		marker, after := stamp, 0
		if asked.kind.repeatable() {
			marker = asked.key
			_, _ = fmt.Sscanf(request.Header.Get("Last-Event-Id"), "%d", &after)
		}
		events := make([]string, total)
		for index := range events {
			events[index] = fmt.Sprintf("id: %d\ndata: piece %d of the run %s\n\n", index+1, index+1, marker)
		}
		planned.body = strings.Join(events[min(after, total):], "")
		planned.chunks = max(total-after, 1) + random.IntN(4)
		planned.pause = time.Duration(random.IntN(20)) * time.Millisecond
		return run{stamp: stamp, status: planned.status, body: []byte(strings.Join(events, ""))}, planned
	}
	size := random.IntN(300)
	switch random.IntN(20) {
	case 0:
		size = 20 << 10
	case 1:
		size = 1300 << 10
	}
	if asked.mode == slowMode {
		size = slowBytes
	}
	planned.body = "all of the run " + stamp + strings.Repeat(" +", size/2)
	switch random.IntN(10) {
	case 0, 1:
		planned.chunks = 1 + random.IntN(4)
	case 2:
		planned.endless = true
	case 3:
		planned.status = http.StatusInternalServerError
	}
	return run{stamp: stamp, status: planned.status, body: []byte(planned.body)}, planned
}

// report returns the response to GET /report.
func (backend *backend) report() answer {
	backend.soak.ledger.count("reports")
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	data, err := json.Marshal(map[string]any{
		"stage": "unified", "models": backend.held(), "busy": false, "seq": backend.accepted, "waiting": 0, "running": 1,
		"kvUsed": 10, "kvTotal": 1000, "handles": 0,
	})
	if err != nil {
		panic(err)
	}
	return answer{status: http.StatusOK, header: "Content-Type: application/json\r\n", body: string(data)}
}

// order carries out an order at once. Some have no effect that the sender learns of.
func (backend *backend) order(body []byte, random *random) answer {
	backend.soak.ledger.count("orders")
	var order struct {
		Opcode, Model, Adapter string
		Precondition           int64
	}
	if json.Unmarshal(body, &order) != nil {
		return answer{status: http.StatusBadRequest}
	}
	backend.mutex.Lock()
	conflict := order.Precondition != backend.accepted
	if !conflict {
		backend.accepted++
		name, list := order.Model, &backend.models
		if order.Adapter != "" {
			name, list = order.Model+"/"+order.Adapter, &backend.adapters
		}
		*list = slices.DeleteFunc(*list, func(each string) bool { return each == name })
		if order.Opcode == "load" {
			*list = append(*list, name)
		}
	}
	backend.mutex.Unlock()
	if conflict {
		return answer{status: http.StatusConflict}
	}
	backend.register()
	switch random.IntN(4) {
	case 0:
		return answer{status: http.StatusAccepted, body: `{` + orderBody + `1}`}
	case 1:
		return answer{status: http.StatusGatewayTimeout} // leaves the sender in doubt, so that it asks for a report
	default:
		return answer{status: http.StatusAccepted}
	}
}

// random is a source of random numbers that goroutines may share.
type random struct{ *rand.Rand }

type lockedSource struct {
	// mutex guards source.
	mutex  sync.Mutex
	source *rand.PCG
}

// Uint64 implements [rand.Source].
func (lockedSource *lockedSource) Uint64() uint64 {
	lockedSource.mutex.Lock()
	defer lockedSource.mutex.Unlock()
	return lockedSource.source.Uint64()
}

func newRandom(seed uint64) *random {
	return &random{Rand: rand.New(&lockedSource{source: rand.NewPCG(seed, 1)})}
}

// fork returns a source of its own whose numbers follow from this one's.
func (random *random) fork() *random { return newRandom(random.Uint64()) }

// replace takes the server away, and puts a new incarnation at its address.
func (backend *backend) replace(drain, renamed bool, random *random) {
	backend.leave(drain)
	backend.soak.pause(time.Duration(500+random.IntN(2500)) * time.Millisecond)
	backend.reincarnate(backend.usual, renamed)
}
