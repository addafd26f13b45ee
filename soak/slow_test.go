package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	slowMode = "slow"
	// slowSenders callers send bodies of maxBodyBytes slowly at a time, which exceed the
	// memory of an entry, and slowReaders callers read responses of slowBytes slowly.
	slowSenders  = 40
	slowReaders  = 40
	maxBodyBytes = 4 << 20
	slowBytes    = 1000 << 10
	// memoryMegabytes is the memory of an entry. It is the smallest of the instances that
	// exist (docs/load.md).
	memoryMegabytes = 144
	// memoryInterval is the time between two readings of the memory that a process uses.
	memoryInterval = 200 * time.Millisecond
)

var slowBody = bytes.Repeat([]byte("body"), maxBodyBytes/4)

// callSlowly has many callers send a request each to an entry. Some send nothing for
// seconds before the end of a large body, the others read nothing for seconds.
func (soak *soak) callSlowly(ctx context.Context, entry *entry, random *random) {
	var callers sync.WaitGroup
	for number := range slowSenders + slowReaders {
		random := random.fork()
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp", entry.address(frontPort), time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			caller := &caller{soak: soak, random: random, mode: slowMode, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), entry: entry}
			asked := caller.draw()
			defer soak.ledger.drop(asked)
			held := 0
			asked.method, asked.body = http.MethodGet, nil
			if number < slowSenders {
				asked.method, asked.body, held = http.MethodPost, slowBody, 1000
			}
			text := caller.format(asked, "1.1")
			if !caller.write(text[:len(text)-held]) {
				return
			}
			select {
			case <-time.After(time.Duration(500+random.IntN(5000)) * time.Millisecond):
			case <-ctx.Done():
			}
			if caller.write(text[len(text)-held:]) && caller.read(asked) {
				soak.ledger.count("slow callers with a response")
			}
		})
	}
	callers.Wait()
}

// checkMemory checks that a process never uses more memory than the instance has, for which
// the platform would kill it.
func (entry *entry) checkMemory(pid int, ended <-chan struct{}) {
	for used := int64(0); ; {
		select {
		case <-ended:
			entry.soak.ledger.most("megabytes used by a process", used>>10)
			return
		case <-time.After(memoryInterval):
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue
		}
		_, text, found := strings.Cut(string(status), "VmHWM:")
		if !found {
			continue
		}
		limit := int64(entry.megabytes) << 10
		within := used <= limit
		_, _ = fmt.Sscan(text, &used)
		if within && used > limit {
			entry.soak.ledger.fault("MEMORY", "%s uses %d kB of %d MB", entry.name, used, entry.megabytes)
		}
	}
}
