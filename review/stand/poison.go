//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deskService = "franchise-desk"
	orderPath   = "/orders/"
	// orderTimeout is the timeoutMs of the route of orders and the deadline of their callers.
	orderTimeout = 1500 * time.Millisecond
	// contact is the contactMs of the settings.
	contact = 3 * time.Second
	// allowedRetries is how many retries may reach servers later than contact after the third
	// crash.
	allowedRetries = 3
)

// publishDesk writes a configuration with one plain service.
func publishDesk(store *store, timeout time.Duration) {
	store.put("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-orders", "host": callerHost, "pathPrefix": orderPath, "kind": "unsafe", "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 120,
			"priority": 2, "service": deskService, "maxAttempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": deskService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 103302, "burst": 103302,
		}},
	})
}

// playPoison sends a request that crashes servers three times through one entry, which is
// then killed, and later again through the others.
func playPoison(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 4)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	var mutex sync.Mutex
	var crashes []time.Time
	late, lost, sound := 0, 0, 0
	ran := func(server *server, request *http.Request, body string) {
		if !strings.Contains(body, poison) {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		now := time.Now()
		crashes = append(crashes, now)
		note := ""
		if len(crashes) > 3 && now.Sub(crashes[2]) > contact {
			late++
			note = fmt.Sprintf(", %.1f s after the third crash, by a machine in touch: number %d", now.Sub(crashes[2]).Seconds(), late)
		}
		record.add("run: request %s crashes %s: crash %d%s", request.Header.Get("X-Attempt-Id"), server.address, len(crashes), note)
	}
	for number := range 10 {
		server := &server{fleet: fleet, service: deskService, number: number, slots: 6, workTime: 15 * time.Millisecond, downtime: 2500 * time.Millisecond, ran: ran}
		if err := server.run(); err != nil {
			return false, err
		}
	}
	publishDesk(fleet.store, orderTimeout)
	if err := fleet.start(); err != nil {
		return false, err
	}
	record.add("coordinator is %s", fleet.coordinator().name)
	time.Sleep(contact + 2*time.Second)
	var first *entry
	var others []*entry
	for _, entry := range fleet.entries {
		if first == nil && entry != fleet.coordinator() {
			first = entry
		} else {
			others = append(others, entry)
		}
	}
	for _, entry := range fleet.entries {
		outcome := entry.send(call{method: http.MethodPost, path: orderPath + "1", body: "timber", deadline: orderTimeout, patience: orderTimeout + answerSlack})
		record.add("sound order through %s: %v", entry.name, outcome)
		if outcome.status != http.StatusOK {
			return false, fmt.Errorf("a sound order failed before the trouble: %v", outcome)
		}
	}
	sendPoison := func(entry *entry) outcome {
		outcome := entry.send(call{method: http.MethodPost, path: orderPath + "2", body: poison, deadline: orderTimeout, patience: orderTimeout + answerSlack})
		record.add("answer: the crashing order through %s (%s): %v", entry.name, outcome.id, outcome)
		return outcome
	}
	for range 3 {
		sendPoison(first)
		time.Sleep(200 * time.Millisecond)
	}
	mutex.Lock()
	count := len(crashes)
	mutex.Unlock()
	if count != 3 {
		return false, fmt.Errorf("%d crashes after three requests", count)
	}
	if trouble {
		first.kill()
		record.add("%s is killed, %.2f s after the third crash", first.name, time.Since(crashes[2]).Seconds())
		time.AfterFunc(time.Second, func() {
			_ = first.start()
			record.add("%s is started again", first.name)
		})
	}
	time.Sleep(time.Until(crashes[2].Add(contact + 500*time.Millisecond)))
	stop := make(chan struct{})
	var callers sync.WaitGroup
	// Sound orders run at the same servers meanwhile.
	for number, entry := range others {
		callers.Go(func() {
			for index := 0; ; index++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				outcome := entry.send(call{
					method: http.MethodPost, path: orderPath + "3", body: fmt.Sprintf("timber %d %d", number, index), deadline: orderTimeout, patience: orderTimeout + answerSlack,
				})
				mutex.Lock()
				sound++
				if outcome.status != http.StatusOK {
					lost++
					record.add("answer: a sound order through %s: %v", entry.name, outcome)
				}
				mutex.Unlock()
			}
		})
	}
	for index := range 16 {
		callers.Go(func() { sendPoison(others[index%len(others)]) })
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	record.add("%d crashes; %d later than %v after the third one, allowed are %d", len(crashes), late, contact, allowedRetries)
	record.add("%d sound orders, %d of them without success", sound, lost)
	return late > allowedRetries, nil
}
