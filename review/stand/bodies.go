//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxBody is the maxBodyBytes of the configuration.
	maxBody = 4194304
	// memoryMB is the memoryMb of the settings.
	memoryMB = 284
	// usualCallers is the number of callers of the entry, burstFactor the largest one by which
	// it grows when many come at once.
	usualCallers = 33
	burstFactor  = 2.9
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

// playBodies has callers send requests with bodies of the largest size that the operator's
// limits allow, from connections that they keep, and then more callers at once.
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
		server := &server{fleet: fleet, service: deskService, number: number, slots: 32, workTime: 100 * time.Millisecond, ran: ran}
		if err := server.run(); err != nil {
			return false, err
		}
	}
	publishDesk(fleet.store)
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
	body := strings.Repeat("x", maxBody)
	send := func(number int, until time.Time) {
		transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}
		defer transport.CloseIdleConnections()
		for kept := false; time.Now().Before(until); {
			text := body
			if !kept {
				text = "small"
			}
			outcome := target.sendOver(transport, call{method: http.MethodPost, path: orderPath + "2", body: text, deadline: 1500 * time.Millisecond, patience: 2 * time.Second})
			mutex.Lock()
			sent++
			cut := outcome.status == 0 && outcome.took < 1500*time.Millisecond
			note := ""
			if cut && kept && runs[outcome.id] {
				lost++
				note = ": LOST after it was passed on, from a kept connection"
			}
			mutex.Unlock()
			record.add("answer: caller %d, order %s of %d bytes: %v%s", number, outcome.id, len(text), outcome, note)
			kept = outcome.status == http.StatusOK
			if !kept {
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	callersNow := usualCallers
	until := time.Now().Add(12 * time.Second)
	for number := range callersNow {
		callers.Go(func() { send(number, until) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		extra := int(burstFactor*float64(callersNow)) - callersNow
		record.add("%d more callers come at once", extra)
		for number := range extra {
			callers.Go(func() { send(callersNow+number, until.Add(-3*time.Second)) })
		}
	}
	for time.Now().Before(until) {
		megabytes := target.residentKB() / 1024
		peak = max(peak, megabytes)
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	close(stop)
	keeper.Wait()
	record.add("%d requests; memory up to %d MB or more, the process was killed %d times", sent, peak, kills)
	record.add("%d requests from kept connections were lost after they had been passed on, allowed are %d", lost, allowedLosses)
	return lost > allowedLosses, nil
}
