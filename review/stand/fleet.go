//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort = 8221
	readyPort = 8224
	firstPort = 7600
)

// fleet is a small deployment: the platform's store, entries as processes, and servers.
type fleet struct {
	record  *record
	store   *store
	folder  string
	entries []*entry
}

func newFleet(record *record, entries int) (*fleet, error) {
	store, err := newStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{record: record, store: store, folder: folder}
	network := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, (os.Getpid()/200)%250)
	for number := range entries {
		fleet.entries = append(fleet.entries, &entry{
			fleet: fleet, name: fmt.Sprintf("edge-%d", number+1), ip: fmt.Sprintf("%s.%d", network, number+1),
		})
	}
	return fleet, nil
}

// start starts all entries and waits until they are ready and one of them coordinates.
func (fleet *fleet) start() error {
	for _, entry := range fleet.entries {
		if err := entry.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := fleet.coordinator() != nil
		for _, entry := range fleet.entries {
			ready = ready && entry.ready()
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the entries are not ready after 15 s")
		}
	}
}

// stop ends all processes and removes the folder of settings and logs.
func (fleet *fleet) stop() {
	for _, entry := range fleet.entries {
		entry.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	}
}

// coordinator returns the entry that coordinates, or nil.
func (fleet *fleet) coordinator() *entry {
	value := fleet.store.coordinator()
	for _, entry := range fleet.entries {
		if strings.Contains(value, `"`+entry.name+`"`) {
			return entry
		}
	}
	return nil
}

// entry is an instance that runs the project's program.
type entry struct {
	fleet *fleet
	name  string
	ip    string
	// mutex guards the fields below.
	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// touchedAt is when the process was last started or signalled.
	touchedAt time.Time
}

func (entry *entry) address(port int) string { return fmt.Sprintf("%s:%d", entry.ip, port) }

// start starts the process with the command of the deploy file.
func (entry *entry) start() error {
	settings := fmt.Sprintf(`nodeName: %[1]q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: %[2]q
zone: "zone-a"
region: "region-a"
zones: {zone-a: "region-a"}
listenAddrs: {front: "%[2]s:%[3]d", ready: "%[2]s:%[4]d"}
portRange: [%[5]d, %[6]d]
seeds: []
bootstrap: true
limits: {cpuShare: 0.304, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000, diskMb: 0}
discovery: "platform"
heartbeatMs: %[7]d
bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 54, requireFence: true, leaseMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, ceilingOver: 1.1}
platform: {address: %[8]q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`, entry.name, entry.ip, frontPort, readyPort, firstPort, firstPort+15, heartbeat.Milliseconds(), entry.fleet.store.address())
	path := filepath.Join(entry.fleet.folder, entry.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(entry.fleet.folder, entry.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/basilkeel", "serve")
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "BASILKEEL_NODE_FILE="+path, "GOMAXPROCS=1")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	entry.mutex.Lock()
	entry.command, entry.ended, entry.touchedAt = command, ended, time.Now()
	entry.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (entry *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + entry.address(readyPort) + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill kills the process and waits for its end.
func (entry *entry) kill() {
	entry.mutex.Lock()
	command, ended := entry.command, entry.ended
	entry.touchedAt = time.Now()
	entry.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}
