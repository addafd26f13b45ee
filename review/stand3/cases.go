//go:build review3

package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// limits and tenants of all configurations.
func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "post", "apiKeys": []string{tenantKey}, "unit": "tokens", "plainTokens": 200, "ratePerS": 100000, "burst": 100000}},
	}
}

func route(name, prefix, kind, service string, timeoutMs, aimMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": aimMs, "priority": 0,
		"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "gapAimMs": 250,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false}
}

// every calls ask at an interval until over is closed, each time in a goroutine of its own, and
// returns once all calls have returned.
func every(interval time.Duration, over <-chan struct{}, ask func(number int)) {
	var running sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-over:
			running.Wait()
			return
		case <-ticker.C:
			running.Go(func() { ask(number) })
		}
	}
}

const (
	streamEvents = 20
	streamGapMs  = 50
)

// modelFleet is a fleet whose streams are asked of model runners.
type modelFleet struct {
	*fleet
	// overfull counts the orders to load more than a runner has room for, ended the runners that ended.
	overfull, ended atomic.Int64
	// asked, whole and cut count streams: those asked, those that came whole, and those that their
	// runner had begun and that did not come whole.
	asked, whole, cut atomic.Int64
}

// startRunner starts a model runner. If it crashes, it is back after some seconds and holds nothing.
func (fleet *modelFleet) startRunner(runner *backend, id string) error {
	runner.config.ID = id
	runner.config.Events, runner.config.GapMs, runner.config.LoadMs = streamEvents, streamGapMs, 1200
	runner.onLine = func(words []string) {
		if words[0] == "overfull" {
			fleet.overfull.Add(1)
		}
	}
	if err := fleet.fleet.startRunner(runner); err != nil {
		return err
	}
	go func() {
		<-runner.ended
		fleet.ended.Add(1)
		select {
		case <-fleet.over:
		case <-time.After(4 * time.Second):
			next := &backend{service: runner.service, zone: runner.zone, slots: runner.slots, config: runner.config}
			next.config.Models, next.config.Address = nil, ""
			if err := fleet.startRunner(next, id+"-again"); err != nil {
				fleet.note("not started: %v", err)
			}
		}
	}()
	return nil
}

// stream asks for a stream.
func (fleet *modelFleet) stream(number int, path, model string) answer {
	answer := fleet.ask(fleet.entries[number%len(fleet.entries)], request{
		method: http.MethodPost, path: fmt.Sprintf("%s%d", path, number), body: "draft", deadline: 12 * time.Second,
		header: map[string]string{"X-Model": model, "X-Token-Count": "200,120", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:80,%08x:120", number+1)},
	})
	fleet.asked.Add(1)
	runs, _ := fleet.ran(answer.id)
	switch {
	case answer.status == http.StatusOK && answer.whole && answer.events == streamEvents:
		fleet.whole.Add(1)
	case runs > 0:
		fleet.cut.Add(1)
	}
	return answer
}

// judge returns the result of a case that plays orders to runners.
func (fleet *modelFleet) judge() (int, error) {
	fleet.note("result: %d streams asked, %d whole, %d begun and not whole; %d orders to load more than their runner has room for, %d runners ended",
		fleet.asked.Load(), fleet.whole.Load(), fleet.cut.Load(), fleet.overfull.Load(), fleet.ended.Load())
	switch {
	case fleet.ended.Load() > fleet.overfull.Load():
		return unplayed, fmt.Errorf("%d runners ended, %d of them overfull", fleet.ended.Load(), fleet.overfull.Load())
	case fleet.overfull.Load() > 0:
		return broken, nil
	default:
		return held, nil
	}
}

// engineService is a service of model runners with models of the given sizes.
func engineService(name string, adapterSlots int, sizes map[string]float64) map[string]any {
	models := []map[string]any{}
	for _, model := range slices.Sorted(maps.Keys(sizes)) {
		models = append(models, map[string]any{"name": model, "weightsMb": sizes[model], "loadS": 1.2, "diskS": 0.51, "warmS": 0.39, "adapters": 8, "adapterMb": 40})
	}
	service := plainService(name)
	service["engine"] = map[string]any{
		"slots": 32, "kvCapacity": 100000, "stride": 6, "weightsMb": 83000, "adapterSlots": adapterSlots, "loadsPerS": 2.1, "models": models,
	}
	return service
}

// newModelFleet starts two entries, and two model runners of each service that hold the given models.
func newModelFleet(fleet *fleet, services map[string]int, sizes map[string]float64, held []string) (*modelFleet, error) {
	models := &modelFleet{fleet: fleet}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for index := range 2 {
			runner := &backend{service: service, zone: "zone-a", slots: 32, config: runnerConfig{
				Models: held, SizesMb: sizes, AdapterMb: 40, WeightsMb: 83000, AdapterSlots: services[service],
			}}
			if err := models.startRunner(runner, fmt.Sprintf("i-%s-%d", service, index)); err != nil {
				return nil, err
			}
		}
	}
	return models, fleet.startEntries()
}

// startEntries starts two entries and waits until they are ready and one of them coordinates.
func (fleet *fleet) startEntries() error {
	for number := range 2 {
		if err := fleet.startEntry(number, "zone-a"); err != nil {
			return err
		}
	}
	if err := fleet.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// playAdapters: a route is split between two services of model runners that have different numbers of
// places for adapters.
func playAdapters(fleet *fleet, trouble bool) (int, error) {
	const model = "daka510000"
	sizes := map[string]float64{model: 34300}
	services := []map[string]any{engineService("lm-large", 8, sizes), engineService("lm-small", 4, sizes)}
	draft := route("draft", "/draft/", "streaming", "lm-large", 12000, 400, 1)
	fleet.store.put("op/config", configuration(1, []map[string]any{draft}, services))
	models, err := newModelFleet(fleet, map[string]int{"lm-large": 8, "lm-small": 4}, sizes, []string{model})
	if err != nil {
		return unplayed, err
	}
	if trouble {
		time.AfterFunc(8*time.Second, func() {
			split := route("draft", "/draft/", "streaming", "lm-large", 12000, 400, 1)
			delete(split, "service")
			split["trafficSplit"] = []map[string]any{{"service": "lm-large", "weight": 50}, {"service": "lm-small", "weight": 50}}
			fleet.store.put("op/config", configuration(4, []map[string]any{split}, services))
			fleet.note("operator: version 4 splits the route draft between lm-large and lm-small")
		})
	}
	time.AfterFunc(40*time.Second, fleet.end)
	every(60*time.Millisecond, fleet.over, func(number int) { models.stream(number, "/draft/", fmt.Sprintf("%s/a%d", model, 1+rand.IntN(8))) })
	return models.judge()
}

// playReplacement: a version of the configuration replaces a model by another.
func playReplacement(fleet *fleet, trouble bool) (int, error) {
	const first, former, next = "daka510000", "rada7437b5", "ravo486f6a"
	sizes := map[string]float64{first: 34300, former: 34300, next: 34300}
	draft := []map[string]any{route("draft", "/draft/", "streaming", "lm", 12000, 400, 1)}
	fleet.store.put("op/config", configuration(1, draft, []map[string]any{engineService("lm", 8, map[string]float64{first: 34300, former: 34300})}))
	models, err := newModelFleet(fleet, map[string]int{"lm": 8}, sizes, []string{first, former})
	if err != nil {
		return unplayed, err
	}
	var replaced atomic.Bool
	if trouble {
		time.AfterFunc(8*time.Second, func() {
			fleet.store.put("op/config", configuration(4, draft, []map[string]any{engineService("lm", 8, map[string]float64{first: 34300, next: 34300})}))
			fleet.note("operator: version 4 lists the model %s in place of %s", next, former)
		})
		time.AfterFunc(11*time.Second, func() { replaced.Store(true) })
	}
	time.AfterFunc(30*time.Second, fleet.end)
	every(60*time.Millisecond, fleet.over, func(number int) {
		model := first
		if number%4 == 0 {
			if model = former; replaced.Load() {
				model = next
			}
		}
		models.stream(number, "/draft/", model)
	})
	return models.judge()
}

// playStartup: runners were started with as many models as they have room for; then more adapters are
// asked for.
func playStartup(fleet *fleet, trouble bool) (int, error) {
	held := []string{"daka510000", "rada7437b5", "nyti185f3"}
	sizes := map[string]float64{held[0]: 34300, held[1]: 34300, held[2]: 14200}
	draft := []map[string]any{route("draft", "/draft/", "streaming", "lm", 12000, 400, 1)}
	fleet.store.put("op/config", configuration(1, draft, []map[string]any{engineService("lm", 8, sizes)}))
	models, err := newModelFleet(fleet, map[string]int{"lm": 8}, sizes, held)
	if err != nil {
		return unplayed, err
	}
	var adapters atomic.Int64
	adapters.Store(4)
	if trouble {
		time.AfterFunc(8*time.Second, func() {
			adapters.Store(8)
			fleet.note("clients ask for more adapters")
		})
	}
	time.AfterFunc(30*time.Second, fleet.end)
	every(60*time.Millisecond, fleet.over, func(number int) {
		models.stream(number, "/draft/", fmt.Sprintf("%s/a%d", held[0], 1+rand.IntN(int(adapters.Load()))))
	})
	return models.judge()
}

// playWriter: another writer writes an entry in which fields are missing, under the key of a runner that
// leaves and whose entry was removed a second before.
func playWriter(fleet *fleet, trouble bool) (int, error) {
	return playLeave(fleet, func(leaving *backend) {
		if !trouble {
			return
		}
		time.Sleep(time.Second)
		key := "servers/" + leaving.config.ID
		fleet.store.put(key, map[string]any{"service": "desk", "address": leaving.config.Address, "slots": 16, "state": "ready"})
		fleet.note("store: another writer writes %s without the fields zone, version, coldLeftMs, seq and born", key)
	})
}

// cutPeriod is the time between two cuts of the watches that are waiting.
const cutPeriod = 1500 * time.Millisecond

// playWatches: the store cuts the watches that are waiting now and then, while a runner leaves.
func playWatches(fleet *fleet, trouble bool) (int, error) {
	if trouble {
		go every(cutPeriod, fleet.over, func(int) {
			fleet.note("store: cuts the watches that are waiting; %d cut before", fleet.store.cutWatches())
		})
	}
	return playLeave(fleet, func(*backend) {})
}

// playLeave: a plain runner leaves without reporting it. Its entry is removed, it serves on for a while
// and exits. removed is called after the entry was removed.
func playLeave(fleet *fleet, removed func(leaving *backend)) (int, error) {
	const leavesAfter, servesFor, length = 8 * time.Second, drainTime + 4*time.Second, 24 * time.Second
	orders := route("orders", "/orders/", "unsafe", "desk", 1500, 300, 1)
	fleet.store.put("op/config", configuration(1, []map[string]any{orders}, []map[string]any{plainService("desk")}))
	var runners []*backend
	for index := range 3 {
		runners = append(runners, &backend{service: "desk", zone: "zone-a", slots: 16, config: runnerConfig{ID: fmt.Sprintf("i-desk-%d", index), WorkMs: 300}})
	}
	leaving := runners[1]
	// removedAt is when its entry was removed, in Unix nanoseconds.
	var removedAt, late atomic.Int64
	var lateOrders sync.Map
	leaving.onLine = func(words []string) {
		if at := removedAt.Load(); words[0] == "run" && at > 0 && time.Now().UnixNano()-at > int64(drainTime) {
			late.Add(1)
			lateOrders.Store(words[1], true)
		}
	}
	for _, runner := range runners {
		if err := fleet.startRunner(runner); err != nil {
			return unplayed, err
		}
	}
	if err := fleet.startEntries(); err != nil {
		return unplayed, err
	}
	time.AfterFunc(leavesAfter, func() {
		leaving.delisted.Store(true)
		fleet.store.remove("servers/" + leaving.config.ID)
		removedAt.Store(time.Now().UnixNano())
		fleet.note("store: servers/%s is removed, as the runner leaves; it serves on for %v and then exits", leaving.config.ID, servesFor)
		removed(leaving)
	})
	time.AfterFunc(leavesAfter+servesFor, func() {
		fleet.note("%s exits", leaving.config.ID)
		leaving.kill()
	})
	time.AfterFunc(length, fleet.end)
	var asked, lost, lostLate atomic.Int64
	every(30*time.Millisecond, fleet.over, func(number int) {
		answer := fleet.ask(fleet.entries[number%2], request{method: http.MethodPost, path: fmt.Sprintf("/orders/%d", number), body: "order", deadline: 1500 * time.Millisecond})
		asked.Add(1)
		if runs, _ := fleet.ran(answer.id); runs == 0 || answer.status == http.StatusOK && answer.whole {
			return
		}
		lost.Add(1)
		if _, reached := lateOrders.Load(answer.id); reached {
			lostLate.Add(1)
		}
	})
	fleet.note("result: %d orders asked; %d reached %s later than %v after its entry was removed; %d orders began to run and got no answer of their runner, %d of them such late ones",
		asked.Load(), late.Load(), leaving.config.ID, drainTime, lost.Load(), lostLate.Load())
	if late.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
