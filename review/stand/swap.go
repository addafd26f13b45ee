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
	modelService = "assist-models"
	notesPath    = "/notes/"
	verdictPath  = "/verdicts/"
	// notesTimeout and verdictTimeout are the timeoutMs of the routes, and the deadlines of
	// their callers.
	notesTimeout   = 12 * time.Second
	verdictTimeout = 3 * time.Second
	// answerSlack is how long after its route's timeoutMs a request may be unanswered.
	answerSlack = 500 * time.Millisecond
	// minHeld is the number of requests from which on the rule counts.
	minHeld = 8
	// longEvents is the number of events of the longest drafts, verdictEvents that of a
	// verdict.
	longEvents    = 159
	verdictEvents = 4
)

// publishModels writes a configuration with one service of model engines.
func publishModels(store *store, models []string, adapters, slots int) {
	route := func(name, path string, timeout time.Duration, target, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "pathPrefix": path, "kind": "streaming", "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": target,
			"priority": priority, "service": modelService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": 250,
		}
	}
	described := []map[string]any{}
	for _, model := range models {
		described = append(described, map[string]any{
			"name": model, "weightsMb": modelMB, "loadS": 1.2, "adapters": adapters, "adapterMb": adapterMB, "warmS": 0.39, "diskS": 0.51,
		})
	}
	store.put("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			route("r-notes", notesPath, notesTimeout, 400, 0), route("r-verdicts", verdictPath, verdictTimeout, 500, 2),
		},
		"services": []map[string]any{{
			"name": modelService, "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 48, "kvCapacity": 157487, "weightsMb": engineMB, "adapterSlots": slots, "loadsPerS": 2.1, "models": described,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000,
		}},
	})
}

// playSwap has callers ask for a model that no engine holds, so that an engine has to make
// room for it, while others ask for adapters of another model on the same engine.
func playSwap(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	const adapters, slots = 16, 8
	publishModels(fleet.store, []string{"alder", "birch", "cedar", "doura", "elder"}, adapters, slots)
	for number, initial := range [][]string{{"alder", "cedar"}, {"birch", "doura"}} {
		engine := &engine{
			fleet: fleet, service: modelService, number: number, initial: initial, slots: slots, loadTime: 1200 * time.Millisecond,
			events: func(request *http.Request) int {
				if strings.HasPrefix(request.URL.Path, verdictPath) {
					return verdictEvents
				}
				return longEvents
			},
		}
		if err := engine.run(); err != nil {
			return false, err
		}
	}
	if err := fleet.start(); err != nil {
		return false, err
	}
	record.add("coordinator is %s", fleet.coordinator().name)
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mutex sync.Mutex
	verdicts, longer, held := 0, 0, 0
	draft := func(entry *entry, model, body string) {
		callers.Go(func() {
			outcome := entry.send(call{method: http.MethodPost, path: notesPath + "1", body: body, model: model, deadline: notesTimeout, patience: notesTimeout + answerSlack})
			record.add("answer: draft with %s through %s: %v", model, entry.name, outcome)
		})
	}
	// drafts begins a draft with a model at each entry in turn until the end.
	drafts := func(model string, interval time.Duration) {
		callers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				draft(fleet.entries[number%len(fleet.entries)], model, fmt.Sprint("note ", number))
			}
		})
	}
	drafts("doura", 500*time.Millisecond)
	// Verdicts with adapters of the models that one engine each holds.
	for place, entry := range fleet.entries {
		callers.Go(func() {
			for number := place; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				callers.Go(func() {
					model := fmt.Sprintf("%s/a%d", []string{"alder", "birch"}[number%2], 1+number/2%adapters)
					outcome := entry.send(call{method: http.MethodPost, path: verdictPath + "1", body: fmt.Sprint("photo ", number), model: model, deadline: verdictTimeout, patience: verdictTimeout + answerSlack})
					late := outcome.took > verdictTimeout
					unanswered := outcome.status == 0 && outcome.took >= verdictTimeout+answerSlack
					note := ""
					if unanswered {
						note = ": UNANSWERED half a second after its route's timeout"
					}
					record.add("answer: verdict %s with %s through %s: %v%s", outcome.id, model, entry.name, outcome, note)
					mutex.Lock()
					defer mutex.Unlock()
					verdicts++
					if late {
						longer++
					}
					if unanswered {
						held++
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	for _, entry := range fleet.entries {
		draft(entry, "cedar", "a long note")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		record.add("demand moves: callers begin to ask for elder, which no engine holds")
		drafts("elder", 100*time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	record.add("%d verdicts; %d lasted longer than their route's timeout, %d of them had no answer half a second later", verdicts, longer, held)
	return held >= minHeld && 4*held > longer, nil
}
