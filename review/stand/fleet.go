//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of all entries, each of which has an address of its own.
type ports struct {
	front int
	ready int
	first int
}

const (
	// lowestPort and highestPort bound the ports that are tried. Outgoing connections get
	// higher ones.
	lowestPort  = 20000
	highestPort = 32000
	// portRange is the number of ports for communication between entries.
	portRange = 16
	// portTries bounds the search for free ports.
	portTries = 50
)

// freePorts returns ports that are free at all addresses.
func freePorts(addresses []string) (ports, error) {
	for range portTries {
		base := lowestPort + rand.IntN(highestPort-lowestPort)
		found := ports{front: base, ready: base + 1, first: base + 2}
		free := true
		for _, address := range addresses {
			for _, port := range []int{found.front, found.ready, found.first} {
				listener, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(port)))
				if err != nil {
					free = false
					continue
				}
				listener.Close()
			}
		}
		if free {
			return found, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports at %v", addresses)
}

// fleet is a small deployment: the platform's store, entries as processes, and servers.
type fleet struct {
	record  *record
	store   *store
	folder  string
	ports   ports
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
	var addresses []string
	for number := range entries {
		fleet.entries = append(fleet.entries, &entry{
			fleet: fleet, name: fmt.Sprintf("edge-%d", number+1), ip: fmt.Sprintf("%s.%d", network, number+1),
		})
		addresses = append(addresses, fleet.entries[number].ip)
	}
	fleet.ports, err = freePorts(addresses)
	return fleet, err
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

func (entry *entry) address(port int) string { return net.JoinHostPort(entry.ip, strconv.Itoa(port)) }

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
`, entry.name, entry.ip, entry.fleet.ports.front, entry.fleet.ports.ready, entry.fleet.ports.first, entry.fleet.ports.first+portRange-1, heartbeat.Milliseconds(), entry.fleet.store.address())
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
	response, err := client.Get("http://" + entry.address(entry.fleet.ports.ready) + "/readyz")
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
