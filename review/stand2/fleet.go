//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	host   = "review.example"
	tenant = "hule"
	key    = "i9n73hh2b9wu3fexd9dn"
	// graceS is the grace of a stop on every sheet.
	graceS = 8
)

// record writes what happens to record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{file: file, began: time.Now()}
}

func (record *record) line(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// fleet is a small deployment: the program's entries as processes, the store and servers.
type fleet struct {
	record  *record
	store   *kv
	folder  string
	version int
	mutex   sync.Mutex
	entries []*entry
}

func newFleet(record *record) *fleet {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		cannotRun("%v", err)
	}
	return &fleet{record: record, store: newKV(), folder: folder}
}

// close ends all processes that the fleet has started.
func (fleet *fleet) close() {
	for _, entry := range fleet.entries {
		_ = entry.command.Process.Signal(syscall.SIGCONT)
		_ = entry.command.Process.Kill()
		<-entry.ended
	}
	os.RemoveAll(fleet.folder)
}

// configure writes the operator's configuration.
func (fleet *fleet) configure(routes, services []map[string]any) {
	fleet.version += 3
	fleet.store.put("op/config", map[string]any{
		"version": fleet.version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000}},
	})
}

// The entries' ports are the same on all of their addresses, which are free as each play has a network of its own.
const (
	frontPort = 8221
	readyPort = 8224
	firstPort = 7600
	lastPort  = 7615
)

// entryIP returns the loopback address of an entry.
func entryIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250, number)
}

// entry is a process of the program.
type entry struct {
	fleet *fleet
	name  string
	front string
	ready string
	// settings is the path of the settings file.
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// start starts an entry with the command of the deploy file.
func (fleet *fleet) start(name string, memoryMB int) *entry {
	entry := &entry{fleet: fleet, name: name}
	ip := entryIP(len(fleet.entries) + 1)
	entry.front, entry.ready = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort)
	settings := fmt.Sprintf(`nodeName: %q
role: "edge"
ip: %q
zone: "zone-a"
region: "north"
zones: {zone-a: "north"}
listenAddrs: {front: %q, ready: %q, control: "%s:%d"}
portRange: [%d, %d]
limits: {cpuShare: 1, cores: 1, memoryMb: %d, linkMbps: 1000}
heartbeatMs: 1200
bounds: {contactMs: 3000, graceS: %d, budgetRatio: 0.2, retrySlack: 54, budgetWindowS: 10, requireFence: true, ceilingWindowS: 5}
platform: {address: %q, form: "kv", ttlMinMs: 1000}
`, name, ip, entry.front, entry.ready, ip, readyPort+1, firstPort, lastPort, memoryMB, graceS, fleet.store.address())
	entry.settings = filepath.Join(fleet.folder, name+".yaml")
	if err := os.WriteFile(entry.settings, []byte(settings), 0o600); err != nil {
		cannotRun("%v", err)
	}
	entry.launch()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.entries = append(fleet.entries, entry)
	return entry
}

// launch starts the entry's process, again if it has ended.
func (entry *entry) launch() {
	log, err := os.OpenFile(filepath.Join(entry.fleet.folder, entry.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	entry.command = exec.Command("target/basilkeel", "serve")
	entry.command.Env = append(os.Environ(), "BASILKEEL_NODE_FILE="+entry.settings)
	entry.command.Stdout, entry.command.Stderr = log, log
	if err := entry.command.Start(); err != nil {
		cannotRun("starting an entry: %v", err)
	}
	entry.fleet.record.line("%s starts", entry.name)
	command, ended := entry.command, make(chan struct{})
	entry.ended = ended
	go func() {
		err := command.Wait()
		entry.fleet.record.line("%s ends: %v", entry.name, err)
		close(ended)
	}()
}

// awaitReady waits until the entry answers the platform's probe with 200.
func (entry *entry) awaitReady() {
	for range 200 {
		if entry.probe() == http.StatusOK {
			entry.fleet.record.line("%s is ready", entry.name)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s is not ready", entry.name)
}

// probe returns the status of the platform's probe, or zero.
func (entry *entry) probe() int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + entry.ready + "/readyz")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (entry *entry) signal(signal syscall.Signal) {
	entry.fleet.record.line("%s gets signal %v", entry.name, signal)
	if err := entry.command.Process.Signal(signal); err != nil {
		cannotRun("signal to %s: %v", entry.name, err)
	}
}

// server stands in for a plain runner.
type server struct {
	fleet    *fleet
	id       string
	service  string
	listener net.Listener
	born     int64
	// answer writes the answer to a request whose body has been read, and reports whether
	// the connection is kept.
	answer func(conn net.Conn, request *http.Request, body []byte) bool
}

// serve starts a server, which registers itself every heartbeat.
func (fleet *fleet) serve(id, service string, answer func(conn net.Conn, request *http.Request, body []byte) bool) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	server := &server{fleet: fleet, id: id, service: service, listener: listener, born: time.Now().UnixMilli(), answer: answer}
	go func() {
		for sequence := 1; ; sequence++ {
			fleet.store.put("servers/"+id, map[string]any{
				"service": service, "address": listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 6,
				"state": "ready", "coldLeftMs": 0, "born": server.born, "seq": sequence,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.handle(conn)
		}
	}()
	return server
}

func (server *server) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.Header.Get("X-Expect-Instance") != server.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Attempt-Id"))
			continue
		}
		if !server.answer(conn, request, body) {
			return
		}
	}
}

// cannotRun ends the script as one that couldn't run.
func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", arguments...)
	if cleanUp != nil {
		cleanUp()
	}
	os.Exit(2)
}

// cleanUp ends what the script has started.
var cleanUp func()
