//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bodyDeadline is the timeoutMs of the route and the deadline of its callers.
	bodyDeadline = 12 * time.Second
	// bodyWork is how long a server works on a request: that of a usual draft.
	bodyWork = 1500 * time.Millisecond
	// maxBody is the maxBodyBytes of the configuration.
	maxBody = 4194304
	// usualBody is the length of a usual body.
	usualBody = 1700
	// memoryMB is the memoryMb of the settings.
	memoryMB = 284
	// draftCallers and photoCallers are the usual numbers of callers with small and with large
	// bodies, burstFactor is the largest factor by which they grow when many come at once.
	draftCallers = 16
	photoCallers = 33
	burstFactor  = 2.9
	// linkBytes is what the entry's link carries in a second: the linkMbps of the settings.
	linkBytes = 1000 * 1000 * 1000 / 8
	// pieceBytes is how much of a body is sent at once.
	pieceBytes = 64 << 10
	// allowedLosses is how many requests from kept connections may be lost after they were
	// passed on.
	allowedLosses = 3
)

// residentKB returns the memory of the process in kilobytes.
func (entry *entry) residentKB() int {
	entry.mutex.Lock()
	pid := entry.command.Process.Pid
	entry.mutex.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			value, _ := strconv.Atoi(strings.Fields(rest)[0])
			return value
		}
	}
	return 0
}

// enforceMemory does what the platform does: it kills the process if it exceeds its memory,
// and starts it again after a short delay.
func (entry *entry) enforceMemory(stop <-chan struct{}, killed func(megabytes int)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if megabytes := entry.residentKB() / 1024; megabytes > memoryMB {
			killed(megabytes)
			entry.kill()
			time.Sleep(500 * time.Millisecond)
			if entry.start() != nil {
				return
			}
		}
	}
}

// link is the entry's link, which its callers share.
type link struct {
	// mutex guards freeAt, when the link has carried all that was sent, and longest, the longest
	// time that a piece has waited for it.
	mutex   sync.Mutex
	freeAt  time.Time
	longest time.Duration
}

// carry waits as long as the link takes to carry a number of bytes.
func (link *link) carry(bytes int) {
	link.mutex.Lock()
	now := time.Now()
	if link.freeAt.Before(now) {
		link.freeAt = now
	}
	link.freeAt = link.freeAt.Add(time.Duration(float64(bytes) / linkBytes * float64(time.Second)))
	wait := link.freeAt.Sub(now)
	link.longest = max(link.longest, wait)
	link.mutex.Unlock()
	time.Sleep(wait)
}

// linkReader reads a body at the pace of a link.
type linkReader struct {
	link *link
	body io.Reader
}

// Read implements [io.Reader].
func (linkReader *linkReader) Read(buffer []byte) (int, error) {
	count, err := linkReader.body.Read(buffer[:min(len(buffer), pieceBytes)])
	linkReader.link.carry(count)
	return count, err
}

// grown returns the number of callers in a burst.
func grown(callers int) int { return int(burstFactor * float64(callers)) }

// playBodies has callers send requests from connections that they keep, many with
// bodies of the largest size that the operator's limits allow. Then more of all come at once.
func playBodies(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	var mutex sync.Mutex
	runs := map[string]bool{}
	ran := func(_ *server, request *http.Request, _ string) {
		mutex.Lock()
		defer mutex.Unlock()
		runs[request.Header.Get("X-Attempt-Id")] = true
	}
	for number := range 6 {
		server := &server{fleet: fleet, service: deskService, number: number, slots: 32, workTime: bodyWork, ran: ran}
		if err := server.run(); err != nil {
			return false, err
		}
	}
	publishDesk(fleet.store, bodyDeadline)
	if err := fleet.start(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	target := fleet.entries[0]
	stop := make(chan struct{})
	kills, peak, lost, sent := 0, 0, 0, 0
	var callers, keeper sync.WaitGroup
	keeper.Go(func() {
		target.enforceMemory(stop, func(megabytes int) {
			mutex.Lock()
			defer mutex.Unlock()
			kills++
			record.add("%s has %d MB, more than its %d: the platform kills it", target.name, megabytes, memoryMB)
		})
	})
	link := &link{}
	send := func(caller string, body string, until time.Time) {
		transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}
		defer transport.CloseIdleConnections()
		for kept := false; time.Now().Before(until); {
			text := body
			if !kept {
				text = strings.Repeat("x", usualBody)
			}
			outcome := target.sendOver(transport, call{method: http.MethodPost, path: orderPath + "2", body: text, link: link, deadline: bodyDeadline, patience: bodyDeadline})
			mutex.Lock()
			sent++
			cut := outcome.status == 0 && outcome.took < bodyDeadline
			note := ""
			if cut && kept && runs[outcome.id] {
				lost++
				note = ": LOST after it was passed on, from a kept connection"
			}
			mutex.Unlock()
			record.add("answer: %s, order %s of %d bytes: %v%s", caller, outcome.id, len(text), outcome, note)
			kept = outcome.status == http.StatusOK
			if !kept {
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	until := time.Now().Add(14 * time.Second)
	large, small := strings.Repeat("x", maxBody), strings.Repeat("x", usualBody)
	begin := func(kind, body string, first, count int, until time.Time) {
		for number := range count {
			callers.Go(func() { send(fmt.Sprintf("caller %d with %s", first+number, kind), body, until) })
		}
	}
	begin("photos", large, 0, photoCallers, until)
	begin("drafts", small, 0, draftCallers, until)
	time.Sleep(4 * time.Second)
	if trouble {
		record.add("%.1f times as many callers", burstFactor)
		ended := until.Add(-5 * time.Second)
		begin("photos", large, photoCallers, grown(photoCallers)-photoCallers, ended)
		begin("drafts", small, draftCallers, grown(draftCallers)-draftCallers, ended)
	}
	for time.Now().Before(until) {
		megabytes := target.residentKB() / 1024
		peak = max(peak, megabytes)
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	close(stop)
	keeper.Wait()
	record.add("the longest that a piece of a body waited for the link: %d ms", link.longest.Milliseconds())
	record.add("%d requests; memory up to %d MB or more, the process was killed %d times", sent, peak, kills)
	record.add("%d requests from kept connections were lost after they had been passed on, allowed are %d", lost, allowedLosses)
	return lost > allowedLosses, nil
}
