//go:build review3

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2000 * time.Millisecond
	hostName  = "desk.example"
	tenantKey = "k1-0123456789abcdef"
)

// fleet is a small deployment: the platform's store, entries and runners.
type fleet struct {
	store   *store
	root    string
	folder  string
	began   time.Time
	entries []*entry
	// over is closed when clients ask no more.
	over chan struct{}
	// mutex guards the fields below.
	mutex   sync.Mutex
	record  *os.File
	runners []*backend
	// runs maps requests to how often they ran, done those whose run came to its end.
	runs, done map[string]int
	attempts   atomic.Int64
}

// entry is a process of the project.
type entry struct {
	name, front, ready string
	command            *exec.Cmd
	ended              chan struct{}
}

// backend is the process of a runner and its entry in the store.
type backend struct {
	config        runnerConfig
	service, zone string
	slots         int
	fleet         *fleet
	command       *exec.Cmd
	ended         chan struct{}
	// delisted reports whether its entry is not written any more.
	delisted atomic.Bool
	// onLine is called with the words of each line that the process prints; it may be nil.
	onLine func(words []string)
}

func newFleet(root, recordPath string) (*fleet, error) {
	store, err := newStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &fleet{over: make(chan struct{}), store: store, root: root, folder: folder, record: record, began: time.Now(), runs: map[string]int{}, done: map[string]int{}}, nil
}

// end has clients ask no more.
func (fleet *fleet) end() { close(fleet.over) }

// note writes a line to the record.
func (fleet *fleet) note(format string, arguments ...any) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fmt.Fprintf(fleet.record, "%8.3f %s\n", time.Since(fleet.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// freePorts returns the first of count free ports in a row at address.
func freePorts(address string, count int) (int, error) {
	for range 100 {
		first, err := net.Listen("tcp", address+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		first.Close()
		free := port+count < 60000
		for offset := range count {
			if !free {
				break
			}
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port+offset))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports at %s", count, address)
}

// startEntry starts a process with the command of the deploy file.
func (fleet *fleet) startEntry(number int, zone string) error {
	ip := fmt.Sprintf("127.0.0.%d", 10+number)
	port, err := freePorts(ip, 24)
	if err != nil {
		return err
	}
	entry := &entry{name: fmt.Sprintf("edge-%s-%d", zone, number), front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1), ended: make(chan struct{})}
	settings := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "north"
zones: {zone-a: "north", zone-b: "north", zone-c: "north"}
listenAddrs: {front: %q, ready: %q}
portRange: [%d, %d]
seeds: []
bootstrap: true
limits: {cpuShare: 0.304, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "virtual_ip"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: %d, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, stretchMaxMs: 5000, revokeStrict: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 54, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 17000, recoverS: 12, passMs: 120, retryAfterS: 0, requireFence: true, leaseMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, ceilingOver: 1.1}
platform: {address: %q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`, entry.name, ip, zone, entry.front, entry.ready, port+8, port+23, heartbeat.Milliseconds(), drainTime.Milliseconds(), fleet.store.addr)
	path := filepath.Join(fleet.folder, entry.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(fleet.folder, entry.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	entry.command = exec.Command("target/basilkeel", "serve")
	entry.command.Dir = fleet.root
	entry.command.Env = []string{"BASILKEEL_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	entry.command.Stdout, entry.command.Stderr = log, log
	if err := entry.command.Start(); err != nil {
		return err
	}
	go func() {
		err := entry.command.Wait()
		fleet.note("%s has ended: %v", entry.name, err)
		close(entry.ended)
	}()
	fleet.entries = append(fleet.entries, entry)
	return nil
}

// awaitReady waits until all entries are ready.
func (fleet *fleet) awaitReady() error {
	for _, entry := range fleet.entries {
		for deadline := time.Now().Add(20 * time.Second); ; {
			response, err := http.Get("http://" + entry.ready + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %v", entry.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startRunner starts the process of a runner at a free port, or at the address of its
// configuration, and registers it.
func (fleet *fleet) startRunner(backend *backend) error {
	backend.fleet, backend.ended = fleet, make(chan struct{})
	if backend.config.Address == "" {
		port, err := freePorts("127.0.0.1", 1)
		if err != nil {
			return err
		}
		backend.config.Address = fmt.Sprintf("127.0.0.1:%d", port)
	}
	backend.config.Born = time.Now().UnixMilli()
	text, err := json.Marshal(backend.config)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	backend.command = exec.Command(own, "runner", string(text))
	output, err := backend.command.StdoutPipe()
	if err != nil {
		return err
	}
	backend.command.Stderr = os.Stderr
	if err := backend.command.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(output)
	lines.Scan()
	fleet.mutex.Lock()
	fleet.runners = append(fleet.runners, backend)
	fleet.mutex.Unlock()
	go backend.follow(lines)
	go backend.register()
	return nil
}

// follow records what the process prints until it ends.
func (backend *backend) follow(lines *bufio.Scanner) {
	fleet := backend.fleet
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		fleet.note("runner %s: %s", backend.config.ID, lines.Text())
		fleet.mutex.Lock()
		switch words[0] {
		case "run":
			fleet.runs[words[1]]++
		case "done":
			fleet.done[words[1]]++
		}
		fleet.mutex.Unlock()
		if backend.onLine != nil {
			backend.onLine(words)
		}
	}
	_ = backend.command.Wait()
	fleet.note("runner %s has ended", backend.config.ID)
	close(backend.ended)
}

// register writes the runner's entry to the store until it ends. The entry is removed after three
// intervals of silence.
func (backend *backend) register() {
	key, seq := "servers/"+backend.config.ID, 0
	for {
		entry := map[string]any{
			"service": backend.service, "address": backend.config.Address, "zone": backend.zone, "version": "v1", "slots": backend.slots,
			"state": "ready", "coldLeftMs": 0, "seq": seq, "born": backend.config.Born,
		}
		if len(backend.config.SizesMb) > 0 {
			var report struct {
				Models []resident `json:"models"`
				AtHand any        `json:"atHand"`
			}
			response, err := http.Get("http://" + backend.config.Address + "/report")
			if err == nil {
				_ = json.NewDecoder(response.Body).Decode(&report)
				response.Body.Close()
				entry["stage"], entry["models"], entry["atHand"] = "unified", report.Models, report.AtHand
			}
		}
		if !backend.hasEnded() && !backend.delisted.Load() {
			backend.fleet.store.put(key, entry)
		}
		seq++
		select {
		case <-backend.ended:
			time.Sleep(3 * heartbeat)
			if !backend.delisted.Load() {
				backend.fleet.store.remove(key)
			}
			return
		case <-time.After(heartbeat):
		}
	}
}

func (backend *backend) hasEnded() bool {
	select {
	case <-backend.ended:
		return true
	default:
		return false
	}
}

// kill ends the process of the runner as a crash does.
func (backend *backend) kill() { _ = backend.command.Process.Kill() }

// answer is what a client got for one attempt.
type answer struct {
	id      string
	sentAt  time.Time
	status  int
	stamped bool
	// whole reports whether the answer is complete, events the number of its events.
	whole  bool
	events int
	err    error
}

// request is what a client asks.
type request struct {
	method, path, body string
	header             map[string]string
	deadline           time.Duration
}

var httpClient = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 2 * time.Second}}

// ask sends one attempt to an entry.
func (fleet *fleet) ask(entry *entry, request request) answer {
	answer := answer{id: fmt.Sprintf("%016x", fleet.attempts.Add(1)), sentAt: time.Now()}
	var body io.Reader
	if request.body != "" {
		body = strings.NewReader(request.body)
	}
	message, err := http.NewRequest(request.method, "http://"+entry.front+request.path, body)
	if err != nil {
		answer.err = err
		return answer
	}
	message.Host = hostName
	message.Header.Set("X-Attempt-Id", answer.id)
	message.Header.Set("X-Deadline-Ms", fmt.Sprint(request.deadline.Milliseconds()))
	message.Header.Set("Authorization", "Bearer "+tenantKey)
	for name, value := range request.header {
		message.Header.Set(name, value)
	}
	fleet.note("client sends %s: %s %s to %s", answer.id, request.method, request.path, entry.name)
	response, err := httpClient.Do(message)
	if err != nil {
		answer.err = err
		fleet.note("client gets %s: no answer: %v", answer.id, err)
		return answer
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	answer.status, answer.stamped, answer.whole, answer.err = response.StatusCode, response.Header.Get("X-Server-Stamp") != "", err == nil, err
	answer.events = strings.Count(string(data), "\n\n")
	text := ""
	if response.StatusCode >= http.StatusMultipleChoices {
		text = " " + strings.TrimSpace(string(data))
	}
	fleet.note("client gets %s: %d, stamp %t, whole %t, Retry-After %q%s", answer.id, answer.status, answer.stamped, answer.whole, response.Header.Get("Retry-After"), text)
	return answer
}

// ran returns how often a request ran, and how often a run came to its end.
func (fleet *fleet) ran(id string) (runs, done int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.runs[id], fleet.done[id]
}

// stop ends all processes. With KEEP_LOGS it copies the logs of the entries to that folder.
func (fleet *fleet) stop() {
	for _, entry := range fleet.entries {
		_ = entry.command.Process.Signal(syscall.SIGKILL)
		<-entry.ended
	}
	fleet.mutex.Lock()
	runners := fleet.runners
	fleet.mutex.Unlock()
	for _, runner := range runners {
		runner.kill()
		<-runner.ended
	}
	for _, entry := range fleet.entries {
		if os.Getenv("KEEP_LOGS") != "" {
			data, _ := os.ReadFile(filepath.Join(fleet.folder, entry.name+".log"))
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), entry.name+".log"), data, 0o600)
		}
	}
	_ = fleet.store.server.Close()
	fleet.record.Close()
	os.RemoveAll(fleet.folder)
}
