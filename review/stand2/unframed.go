//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// lookupPeriod is the time between two of the same lookup.
	lookupPeriod  = 2 * time.Second
	lookupTimeout = 1500 * time.Millisecond
	// recoverTime is recoverS on the sheet, downTime the time that all entries are away, beforeTime and afterTime the times
	// in which requests count.
	recoverTime = 12 * time.Second
	downTime    = time.Second
	beforeTime  = 14 * time.Second
	afterTime   = 30 * time.Second
)

// unframedLookups repeats one lookup whose answers end with their connections, kills all entries and starts them again.
func unframedLookups(fleet *fleet, trouble bool) bool {
	fleet.configure(
		[]map[string]any{{
			"name": "r-look", "host": host, "pathPrefix": "/look/", "kind": "safe", "service": "desk", "timeoutMs": lookupTimeout.Milliseconds(), "targetLatencyMs": 120,
			"priority": 2, "maxAttempts": 2, "public": false,
		}},
		[]map[string]any{{"name": "desk", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
	)
	body := strings.Repeat("x", 800)
	for number := range 3 {
		id := fmt.Sprintf("i-0000000%d", number+1)
		fleet.serve(id, "desk", func(conn net.Conn, request *http.Request, _ []byte) bool {
			attempt := request.Header.Get("X-Attempt-Id")
			fleet.record.line("runner %s answers %s", id, attempt)
			time.Sleep(15 * time.Millisecond)
			framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
			if trouble {
				framing = "Connection: close\r\n"
			}
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp.%s.%s\r\n%s\r\n%s", attempt, id, attempt, framing, body)
			return err == nil && !trouble
		})
	}
	entries, number := []*entry{fleet.start("edge-a-1", 284), fleet.start("edge-a-2", 284)}, 0
	for _, entry := range entries {
		entry.awaitReady()
	}
	// Traffic starts ten seconds after the machines do.
	time.Sleep(10 * time.Second)
	// send sends the lookup for a time and returns how many were sent and how many were answered with success.
	send := func(during time.Duration) (sent, served int) {
		for began := time.Now(); time.Since(began) < during; time.Sleep(lookupPeriod) {
			number++
			sent++
			id, entry := fmt.Sprintf("%016x", 0xabc0000+number), entries[number%len(entries)]
			status, reason := askLookup(entry.front, id)
			fleet.record.line("%s gets status %d from %s %s", id, status, entry.name, reason)
			if status == http.StatusOK {
				served++
			}
		}
		return sent, served
	}
	fleet.record.line("traffic starts")
	sentBefore, servedBefore := send(beforeTime)
	fleet.record.line("all entries are killed")
	for _, entry := range entries {
		entry.signal(syscall.SIGKILL)
		<-entry.ended
	}
	time.Sleep(downTime)
	for _, entry := range entries {
		entry.launch()
	}
	send(recoverTime)
	sentAfter, servedAfter := send(afterTime)
	fleet.record.line("%d of %d served before the final fault, %d of %d from %v after the machines are back", servedBefore, sentBefore, servedAfter, sentAfter, recoverTime)
	return 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter
}

// askLookup sends the lookup on a connection of its own. The status is zero if there is no whole answer.
func askLookup(address, id string) (status int, reason string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(lookupTimeout))
	fmt.Fprintf(conn, "GET /look/tides?day=today HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n", host, id, lookupTimeout.Milliseconds(), key)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	if response.StatusCode >= http.StatusBadRequest {
		reason = string(body)
	}
	return response.StatusCode, reason
}
