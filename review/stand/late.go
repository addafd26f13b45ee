//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// adapterSlots is the number of adapters that an engine holds.
	adapterSlots = 8
	// lateBy is how long after it was sent an unanswered order is carried out.
	lateBy = 11 * time.Second
	// engineDowntime is how long a crashed engine is away.
	engineDowntime = 2 * time.Second
)

// playLate has an engine leave one order unanswered and crash. It is back under the same
// identifier when the order arrives.
func playLate(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	publishModels(fleet.store, []string{"alder", "birch", "cedar"}, 16, adapterSlots)
	var mutex sync.Mutex
	delayed, broken := false, 0
	last := fmt.Sprintf("a%d", adapterSlots+1)
	for number, initial := range [][]string{{"alder"}, {"birch", "cedar"}} {
		engine := &engine{
			fleet: fleet, service: modelService, number: number, initial: initial, slots: adapterSlots, loadTime: 1200 * time.Millisecond,
			downtime: engineDowntime, events: func(*http.Request) int { return verdictEvents },
			late: func(engine *engine, order order) (time.Duration, bool) {
				mutex.Lock()
				defer mutex.Unlock()
				if !trouble || delayed || order.Opcode != "load" || order.Adapter != last {
					return 0, false
				}
				delayed = true
				time.AfterFunc(300*time.Millisecond, func() { engine.crash("disruption") })
				return lateBy, true
			},
			overfilled: func(engine *engine, order order, held string) {
				mutex.Lock()
				defer mutex.Unlock()
				broken++
				record.add("%s has %d places for adapters, holds %s and is ordered to %v: LIMIT", engine.id, adapterSlots, held, order)
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
	verdict := func(entry *entry, model string) {
		callers.Go(func() {
			outcome := entry.send(call{
				method: http.MethodPost, path: verdictPath + "1", body: model, model: model, tokens: "100,20", deadline: verdictTimeout, patience: verdictTimeout + answerSlack,
			})
			record.add("answer: verdict with %s through %s: %v", model, entry.name, outcome)
		})
	}
	verdicts := func(model func(number int) string, interval time.Duration) {
		callers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				verdict(fleet.entries[number%len(fleet.entries)], model(number))
			}
		})
	}
	verdicts(func(int) string { return "birch" }, 200*time.Millisecond)
	verdicts(func(int) string { return "cedar" }, 200*time.Millisecond)
	verdicts(func(number int) string { return fmt.Sprintf("alder/a%d", 1+number%adapterSlots) }, 250*time.Millisecond)
	time.Sleep(5 * time.Second)
	record.add("one caller asks for another adapter")
	verdict(fleet.entries[0], "alder/"+last)
	time.Sleep(lateBy + 2*time.Second)
	close(stop)
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	if trouble && !delayed {
		return false, fmt.Errorf("no order was delayed")
	}
	return broken > 0, nil
}
