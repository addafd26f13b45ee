package soak_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/proof"
)

var (
	seedFlag     = flag.Uint64("soak.seed", 1, "seed of the soak")
	durationFlag = flag.Duration("soak.duration", 45*time.Second, "time during which requests are sent")
	entriesFlag  = flag.Int("soak.entries", 4, "number of entry processes")
	serversFlag  = flag.Int("soak.servers", 17, "number of backend servers")
	callersFlag  = flag.Int("soak.callers", 24, "number of callers")
	binaryFlag   = flag.String("soak.binary", "", "program to run; the default is built from this module")
	logsFlag     = flag.String("soak.logs", "", "directory for the logs of the entries; the default is removed")
	calmFlag     = flag.Bool("soak.calm", false, "leave out disturbances of entries, store and registry")
)

const (
	// liveTimeout bounds waits for what has to happen at some time.
	liveTimeout = 90 * time.Second
	stopTimeout = 40 * time.Second
	// shortDuration bounds the plays of single ways to fail.
	shortDuration = 8 * time.Second
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

// TestSoakOfRealProcesses checks what callers and servers see while servers stutter, break
// off and refuse, callers end in all ways, and entries, servers and the store fail.
func TestSoakOfRealProcesses(t *testing.T) {
	soak := newSoak(t)
	soak.idleTimeouts = []time.Duration{600 * time.Millisecond, 3 * time.Second, 15 * time.Second}
	soak.play(*durationFlag, !*calmFlag)
}

// TestStatusLineInsideHeaderOfEarlierResponse plays servers that cut an earlier response
// off inside a header's value, so that the next status line becomes a part of the value.
func TestStatusLineInsideHeaderOfEarlierResponse(t *testing.T) {
	soak := newSoak(t)
	soak.splices = true
	soak.play(min(*durationFlag, shortDuration), false)
}

// TestKilledEntryDoesNotCompleteStreamsInHTTP10 checks callers whose responses end with
// their connection, at entries that are killed.
func TestKilledEntryDoesNotCompleteStreamsInHTTP10(t *testing.T) {
	soak := newSoak(t)
	soak.modes, soak.kinds = []string{"HTTP/1.0"}, []routeKind{kindDraft, kindResume, kindLook}
	soak.disturbances = []disturbance{disturbKill}
	soak.play(min(*durationFlag, shortDuration), true)
}

// TestHangUpWhileStopping checks that SIGHUP does not end a process that is stopping.
func TestHangUpWhileStopping(t *testing.T) {
	soak := newSoak(t)
	soak.modes = []string{"ordinary"}
	entry := soak.entries[0]
	soak.entries = soak.entries[:1]
	entry.start()
	soak.expectService()
	entry.mutex.Lock()
	entry.expected = true
	command, ended := entry.command, entry.ended
	entry.mutex.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	soak.pause(300 * time.Millisecond)
	_ = command.Process.Signal(syscall.SIGHUP)
	<-ended
	if !command.ProcessState.Exited() {
		t.Errorf("the process ended with %v while it was stopping, not with a status", command.ProcessState)
	}
}

// play sends requests for some time and reports.
func (soak *soak) play(duration time.Duration, disturbed bool) {
	for _, entry := range soak.entries {
		entry.start()
	}
	soak.expectService()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	for range *callersFlag {
		random := soak.random.fork()
		soak.callers.Go(func() {
			for ctx.Err() == nil {
				soak.call(ctx, soak.entries[random.IntN(len(soak.entries))], random)
			}
		})
	}
	if disturbed {
		for range 3 {
			random := soak.random.fork()
			soak.disturbers.Go(func() { soak.disturb(ctx, random) })
		}
	}
	<-ctx.Done()
	soak.disturbers.Wait()
	soak.callers.Wait()
	soak.store.setMode(storeSound)
	soak.expectService()
	var stopped sync.WaitGroup
	for _, entry := range soak.entries {
		stopped.Go(func() { entry.stop(syscall.SIGTERM) })
	}
	stopped.Wait()
	placed := 0
	for _, entry := range soak.entries {
		placed += entry.checkLog()
	}
	if placed == 0 {
		soak.ledger.fault("UNSCHEDULED", "the coordinator chose the engine of no request")
	}
	soak.ledger.report(soak.t)
}

// program returns the program to run, which it builds unless one is given.
func program(t *testing.T) string {
	t.Helper()
	if *binaryFlag != "" {
		return *binaryFlag
	}
	binary := filepath.Join(t.TempDir(), "basilkeel")
	if output, err := exec.Command("go", "build", "-o", binary, "../cmd/basilkeel").CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v\n%s", err, output)
	}
	return binary
}

// soak is one play.
type soak struct {
	t      *testing.T
	random *random
	store  *keyValue
	ledger *ledger
	// splices makes servers cut earlier responses off inside their headers.
	splices bool
	// routeTimeout is the shortest timeout of a route.
	routeTimeout time.Duration
	// idleTimeouts are drawn from for each configuration.
	idleTimeouts []time.Duration
	// intercept returns the response of servers to some requests; nil means to none.
	intercept func(request *http.Request) (response string, known bool)
	// modes, kinds and disturbances are drawn from.
	modes        []string
	kinds        []routeKind
	disturbances []disturbance
	// number counts requests, lingering the connections that wait for their end.
	number     atomic.Int64
	lingering  atomic.Int64
	entries    []*entry
	servers    []*backend
	callers    sync.WaitGroup
	disturbers sync.WaitGroup
	// over is closed at the end of the test.
	over chan struct{}
	// outages is held for reading while the store fails, and for writing by operators who
	// need it to work.
	outages sync.RWMutex
	// disturbed is the last time, in Unix nanoseconds, at which an entry was ended.
	disturbed atomic.Int64
	zones     zones
	// binary is the program that entries run, logs the directory of their logs.
	binary string
	logs   string
	// moreKeys are further keys of the client account, in the next configurations.
	moreKeys []string
	// mutex guards version and serializes the publication of configurations.
	mutex   sync.Mutex
	version int
}

func newSoak(t *testing.T) *soak {
	t.Helper()
	binary := program(t)
	soak := &soak{
		t: t, random: newRandom(*seedFlag), store: newKeyValue(), ledger: newLedger(), routeTimeout: 3 * time.Second,
		modes: callerModes, kinds: routeKinds, over: make(chan struct{}), disturbances: allDisturbances,
		idleTimeouts: []time.Duration{15 * time.Second},
	}
	logs := *logsFlag
	if logs == "" {
		logs = t.TempDir()
	}
	t.Cleanup(func() {
		for _, entry := range soak.entries {
			entry.kill()
		}
		close(soak.over)
		soak.store.setMode(storeRefusing)
		soak.store.server.CloseClientConnections()
		soak.store.server.Close()
		for _, server := range soak.servers {
			server.listener.Close()
		}
	})
	soak.publish(soak.random)
	go soak.store.probe(soak.over)
	services := []string{engineService, engineService, engineService, lookService, orderService, lookService, engineService, orderService, spareService}
	services = append(services, services[:3]...)
	services = append(services, coldService, coldService, homeService, homeService, homeService)
	for number := range *serversFlag {
		soak.servers = append(soak.servers, newBackend(soak, services[number%len(services)], number))
	}
	soak.binary, soak.logs = binary, logs
	soak.addEntries(*entriesFlag)
	return soak
}

// addEntries adds a number of entries, which are not started.
func (soak *soak) addEntries(count int) {
	network := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, (os.Getpid()/200)%250)
	for range count {
		number := len(soak.entries)
		soak.entries = append(soak.entries, &entry{
			soak: soak, binary: soak.binary, name: fmt.Sprintf("entry-%03d", number), ip: fmt.Sprintf("%s.%d", network, number+1), logs: soak.logs, megabytes: memoryMegabytes,
		})
	}
}

func (soak *soak) pause(duration time.Duration) { time.Sleep(duration) }

// publish writes a newer version of the configuration.
func (soak *soak) publish(random *random) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.version += 1 + random.IntN(5)
	split := random.IntN(100)
	idleTimeout := soak.idleTimeouts[random.IntN(len(soak.idleTimeouts))]
	// The requests to engines are scheduled while the longest objective is ten times the
	// shortest; it is in the first version.
	lateObjective := 8 * time.Second
	if len(soak.servers) > 0 && random.IntN(3) == 0 {
		lateObjective = 2 * time.Second
	}
	route := func(kind routeKind, protocol string, attempts int, more map[string]any) map[string]any {
		route := map[string]any{
			"name": "r-" + string(kind), "host": callerHost, "pathPrefix": "/" + string(kind) + "/", "kind": protocol,
			"timeoutMs": int(soak.routeTimeout.Milliseconds()) + random.IntN(2000), "targetLatencyMs": 300 + random.IntN(500), "priority": 1, "maxAttempts": attempts, "public": false,
		}
		for name, value := range more {
			route[name] = value
		}
		return route
	}
	models := []map[string]any{}
	for _, name := range engineModels {
		models = append(models, map[string]any{"name": name, "weightsMb": 16000.0, "loadS": 0.5, "adapters": 6, "adapterMb": 14.0, "warmS": 0.2, "diskS": 0.3})
	}
	soak.store.put("op/config", map[string]any{
		"version": soak.version,
		"routes": []map[string]any{
			route(kindLook, "safe", 2, map[string]any{"trafficSplit": []map[string]any{{"service": lookService, "weight": 100 - split/2}, {"service": spareService, "weight": split / 2}}}),
			route(kindOrder, "unsafe", 2, map[string]any{"service": orderService}),
			route(kindCold, "unsafe", 2, map[string]any{"service": coldService}),
			route(kindHome, "safe", 2, map[string]any{"service": homeService, "allowedRegions": []string{homeRegion}}),
			route(kindDraft, "streaming", 2, map[string]any{"service": engineService, "sticky": true, "resumable": false, "gapAimMs": 250}),
			route(kindResume, "streaming", 3, map[string]any{"service": engineService, "sticky": true, "resumable": true, "gapAimMs": 250}),
			route(kindLate, "streaming", 2, map[string]any{"service": engineService, "gapAimMs": 250, "targetLatencyMs": lateObjective.Milliseconds(), "priority": 2}),
			route(routeKind(fmt.Sprintf("new%d", soak.version)), "safe", 1, map[string]any{"service": lookService}),
		},
		"services": []map[string]any{
			{
				"name": engineService, "healthPath": "/healthz", "maxConns": 200, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 16, "kvCapacity": 100000, "weightsMb": 40000.0, "adapterSlots": 3, "loadsPerS": 5.0, "models": models},
			},
			{"name": lookService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			{"name": spareService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			{"name": orderService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			{"name": homeService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			{"name": coldService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerSecond},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
		"tenants": []map[string]any{
			{"name": tenantName, "apiKeys": append([]string{tenantKey}, soak.moreKeys...), "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 10000000, "burst": 10000000},
			{"name": confinedTenant, "apiKeys": []string{confinedKey}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 10000000, "burst": 10000000, "allowedRegions": []string{confinedRegion}},
		},
	})
}

// expectService waits until every entry serves every kind of request.
func (soak *soak) expectService() {
	deadline := time.Now().Add(liveTimeout)
	for _, entry := range soak.entries {
		for _, kind := range routeKinds {
			for !soak.serves(entry, kind) {
				if time.Now().After(deadline) {
					soak.ledger.fault("DEAD", "%s serves no %s", entry.name, kind)
					return
				}
				soak.pause(100 * time.Millisecond)
			}
		}
	}
}

// serves sends one ordinary request and reports whether it succeeds.
func (soak *soak) serves(entry *entry, kind routeKind) bool {
	return bytes.HasPrefix(soak.response(entry, kind, string(kind)), []byte("HTTP/1.0 200"))
}

// response sends one ordinary request of a kind to a route and returns the response, or
// nothing if the entry accepts no connection.
func (soak *soak) response(entry *entry, kind routeKind, route string) []byte {
	conn, err := net.DialTimeout("tcp", entry.address(frontPort), time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	caller := &caller{soak: soak, random: newRandom(uint64(soak.number.Add(1))), mode: "ordinary"}
	asked := caller.draw()
	asked.kind, asked.tenant, asked.method, asked.model = kind, tenantName, http.MethodPost, ""
	asked.target = "/" + route + "/last"
	if kind.streaming() {
		asked.model = engineModels[0]
	}
	_, _ = io.WriteString(conn, caller.format(asked, "1.0"))
	text, _ := io.ReadAll(conn)
	return text
}

// disturb causes disturbances until ctx is done, and undoes them.
func (soak *soak) disturb(ctx context.Context, random *random) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.IntN(1500)) * time.Millisecond):
		}
		entry := soak.entries[random.IntN(len(soak.entries))]
		server := soak.servers[random.IntN(len(soak.servers))]
		disturbance := soak.disturbances[random.IntN(len(soak.disturbances))]
		soak.ledger.count("disturbances: " + string(disturbance))
		switch disturbance {
		case disturbStop:
			entry.restart(syscall.SIGTERM, random)
		case disturbKill:
			entry.restart(syscall.SIGKILL, random)
		case disturbCoordinator:
			soak.coordinator().restart(syscall.SIGKILL, random)
		case disturbHangUp:
			entry.hangUp()
		case disturbConfiguration:
			soak.publish(random)
		case disturbStore:
			soak.outages.RLock()
			soak.store.setMode(storeMode(1 + random.IntN(int(storeModes)-1)))
			soak.pause(time.Duration(random.IntN(4000)) * time.Millisecond)
			soak.store.setMode(storeSound)
			soak.outages.RUnlock()
		case disturbRestore:
			copied := soak.store.copy()
			soak.pause(time.Duration(random.IntN(4000)) * time.Millisecond)
			soak.outages.RLock()
			soak.store.setMode(storeRefusing)
			soak.pause(time.Duration(random.IntN(2000)) * time.Millisecond)
			soak.store.restore(copied, time.Duration(random.IntN(1500))*time.Millisecond)
			soak.outages.RUnlock()
		case disturbDrain:
			server.replace(true, true, random)
		case disturbCrash:
			server.replace(false, random.IntN(2) == 0, random)
		case disturbIncarnation:
			server.reincarnate(server.usual, random.IntN(2) == 0)
		case disturbSlow:
			soak.callSlowly(ctx, entry, random)
		case disturbZone:
			soak.evacuate(random)
		case disturbCold:
			server = soak.coldServers()[random.IntN(len(soak.coldServers()))]
			server.becomeCold(time.Duration(2000+random.IntN(2000)) * time.Millisecond)
		case disturbAddress:
			server.reincarnate([]string{lookService, orderService, engineService, spareService}[random.IntN(4)], true)
			soak.pause(time.Duration(random.IntN(3000)) * time.Millisecond)
			server.reincarnate(server.usual, true)
		}
	}
}

// disturbance is what happens to an entry, a server, the store or the configuration.
type disturbance string

const (
	disturbStop          disturbance = "an entry stops"
	disturbKill          disturbance = "an entry is killed"
	disturbCoordinator   disturbance = "the coordinator is killed"
	disturbHangUp        disturbance = "an entry reads its settings again"
	disturbConfiguration disturbance = "a new configuration"
	disturbStore         disturbance = "the store is slow, silent or refuses"
	disturbRestore       disturbance = "the store comes back from a copy"
	disturbDrain         disturbance = "a server drains and is replaced"
	disturbCrash         disturbance = "a server crashes and returns"
	disturbIncarnation   disturbance = "a new incarnation keeps the connections"
	disturbAddress       disturbance = "another service has the address for a while"
	disturbCold          disturbance = "a server becomes cold again"
	disturbZone          disturbance = "a zone is evacuated for a while"
	disturbSlow          disturbance = "many callers send and read slowly"
)

var allDisturbances = []disturbance{
	disturbStop, disturbStop, disturbKill, disturbCoordinator, disturbHangUp, disturbConfiguration, disturbStore, disturbRestore, disturbDrain,
	disturbCrash, disturbIncarnation, disturbAddress, disturbCold, disturbCold, disturbZone, disturbZone, disturbSlow, disturbSlow,
}

// coordinator returns the entry that is the coordinator, or any.
func (soak *soak) coordinator() *entry {
	for _, entry := range soak.entries {
		key := soak.store.find(func(key string) bool { return strings.Contains(key, "coordinator") }, `"`+entry.name+`"`)
		if key != "" {
			return entry
		}
	}
	return soak.entries[rand.IntN(len(soak.entries))]
}

const (
	frontPort = 8221
	readyPort = 8224
	firstPort = 7600
)

// entry is a process of the program.
type entry struct {
	soak   *soak
	binary string
	name   string
	ip     string
	logs   string
	// megabytes is the memory of the instance, and descriptors the number of its descriptors;
	// zero means no bound.
	megabytes   int
	descriptors int
	// way is the process's way to the store; nil means a direct one.
	way *storeWay
	// turn is held by the disturbance that stops and starts the process.
	turn sync.Mutex
	// mutex guards the fields below.
	mutex    sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	expected bool
	killedAt time.Time
}

// lastKill returns when the process was last killed.
func (entry *entry) lastKill() time.Time {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.killedAt
}

func (entry *entry) address(port int) string { return fmt.Sprintf("%s:%d", entry.ip, port) }

func (entry *entry) settingsPath() string { return filepath.Join(entry.logs, entry.name+".yaml") }

func (entry *entry) storeAddress() string {
	if entry.way != nil {
		return entry.way.address()
	}
	return entry.soak.store.address()
}

func (entry *entry) writeSettings() {
	settings := fmt.Sprintf(`nodeName: %q
role: "entry"
ip: %q
zone: "zone-a"
region: "north"
zones: {%s}
listenAddrs: {front: "%s", ready: "%s", control: "%s"}
portRange: [%d, %d]
limits: {cpuShare: 1, cores: 1, memoryMb: %d, maxFds: %d, linkMbps: 1000}
heartbeatMs: 1200
bounds: {contactMs: 3000, graceS: 8, budgetRatio: 1, retrySlack: 500, budgetWindowS: 10, requireFence: true, ceilingWindowS: 5, evacuateMs: %d}
platform: {address: %q, form: "kv", ttlMinMs: 1000}
`, entry.name, entry.ip, formatZones(), entry.address(frontPort), entry.address(readyPort), entry.address(readyPort+1), firstPort, firstPort+15, entry.megabytes, entry.descriptors, evacuateTime.Milliseconds(), entry.storeAddress())
	if err := os.WriteFile(entry.settingsPath()+".new", []byte(settings), 0o600); err != nil {
		entry.soak.t.Error(err)
	}
	if err := os.Rename(entry.settingsPath()+".new", entry.settingsPath()); err != nil {
		entry.soak.t.Error(err)
	}
}

// start starts the process and watches for an end that nobody asked for.
func (entry *entry) start() {
	entry.writeSettings()
	log, err := os.OpenFile(filepath.Join(entry.logs, entry.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		entry.soak.t.Error(err)
		return
	}
	defer log.Close()
	command := exec.Command(entry.binary, "serve", "--settings", entry.settingsPath())
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		entry.soak.t.Error(err)
		return
	}
	ended := make(chan struct{})
	entry.mutex.Lock()
	entry.command, entry.ended, entry.expected = command, ended, false
	entry.mutex.Unlock()
	go entry.checkMemory(command.Process.Pid, ended)
	go func() {
		err := command.Wait()
		entry.mutex.Lock()
		expected := entry.expected
		entry.mutex.Unlock()
		if !expected {
			entry.soak.ledger.fault("ENDED", "%s ended by itself: %v\n%s", entry.name, err, entry.tail())
		}
		close(ended)
	}()
}

// tail returns the end of the log.
func (entry *entry) tail() string {
	data, err := os.ReadFile(filepath.Join(entry.logs, entry.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(len(data)-3000, 0):])
}

// stop stops the process with a signal and waits for its end.
func (entry *entry) stop(signal syscall.Signal) {
	entry.mutex.Lock()
	command, ended := entry.command, entry.ended
	entry.expected = true
	if signal == syscall.SIGKILL {
		entry.killedAt = time.Now()
	}
	entry.mutex.Unlock()
	entry.soak.disturbed.Store(time.Now().UnixNano())
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		entry.soak.ledger.fault("ENDLESS", "%s did not end for %v after %v", entry.name, stopTimeout, signal)
		entry.kill()
		<-ended
	}
}

// readUnanswered finds log lines on connections that were closed after bytes of a request were
// read, and without a response.
var readUnanswered = regexp.MustCompile(`.*"msg":"requestUnanswered".*"read":[1-9].*`)

// checkLog checks that no process of the entry has panicked or found a data race. It
// returns how many of its requests the coordinator has placed.
func (entry *entry) checkLog() int {
	data, err := os.ReadFile(filepath.Join(entry.logs, entry.name+".log"))
	if err != nil {
		entry.soak.t.Error(err)
	}
	for _, sign := range []string{"DATA RACE", "\npanic: ", "\nfatal error: ", "panic serving"} {
		if at := bytes.Index(data, []byte(sign)); at >= 0 {
			entry.soak.ledger.fault("PANIC", "%s wrote:\n%s", entry.name, data[at:min(at+3000, len(data))])
		}
	}
	for _, line := range readUnanswered.FindAll(data, -1) {
		entry.soak.ledger.fault("UNANSWERED", "%s closed a connection under a request: %s", entry.name, line)
	}
	return bytes.Count(data, []byte(`"expectedFirstMs":`))
}

// kill kills the process without waiting for its end.
func (entry *entry) kill() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.expected, entry.killedAt = true, time.Now()
	if entry.command != nil {
		_ = entry.command.Process.Kill()
	}
}

// restart stops the process and starts it again after a while.
func (entry *entry) restart(signal syscall.Signal, random *random) {
	entry.turn.Lock()
	defer entry.turn.Unlock()
	entry.stop(signal)
	entry.soak.pause(time.Duration(random.IntN(1000)) * time.Millisecond)
	entry.start()
}

// hangUp makes the process read its settings again.
func (entry *entry) hangUp() {
	entry.turn.Lock()
	defer entry.turn.Unlock()
	entry.writeSettings()
	entry.waitReady()
	_ = entry.command.Process.Signal(syscall.SIGHUP)
	entry.soak.pause(200 * time.Millisecond)
}

// waitReady waits until the entry reports that it is ready. The store may be unavailable
// for a while, so that it may give up.
func (entry *entry) waitReady() {
	for deadline := time.Now().Add(stopTimeout); time.Now().Before(deadline); entry.soak.pause(50 * time.Millisecond) {
		response, err := http.Get("http://" + entry.address(readyPort) + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}
