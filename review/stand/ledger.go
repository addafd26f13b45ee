//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// adapterSlots is the number of adapters that an engine holds.
	adapterSlots = 8
	// engineDowntime is how long a crashed engine is away.
	engineDowntime = 2 * time.Second
	// unansweredShare is the share of orders that get no answer and are carried out late, after
	// minLate to maxLate.
	unansweredShare = 0.35
	minLate         = 2 * time.Second
	maxLate         = 12 * time.Second
	// batchSize is the number of callers that ask for adapters at the same time.
	batchSize = 10
	// ledgerTime bounds the play.
	ledgerTime = 80 * time.Second
)

// playLedger has batches of callers ask for adapters while engines leave some orders
// unanswered.
func playLedger(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	const adapters = 42
	models := []string{"alder", "birch", "cedar", "doura"}
	publishModels(fleet.store, models, adapters, adapterSlots)
	var mutex sync.Mutex
	broken := 0
	over := make(chan struct{})
	for number, model := range models {
		engine := &engine{
			fleet: fleet, service: modelService, number: number, initial: []string{model}, slots: adapterSlots, loadTime: 1200 * time.Millisecond,
			downtime: engineDowntime, closes: true, events: func(*http.Request) int { return verdictEvents },
			late: func(*engine, order) (time.Duration, bool) {
				if !trouble || rand.Float64() >= unansweredShare {
					return 0, false
				}
				return minLate + rand.N(maxLate-minLate), true
			},
			overfilled: func(engine *engine, order order, held string) {
				mutex.Lock()
				defer mutex.Unlock()
				record.add("%s has %d places for adapters, holds %s and is ordered to %v: LIMIT", engine.id, adapterSlots, held, order)
				if broken++; broken == 1 {
					close(over)
				}
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
	var callers sync.WaitGroup
	ended := time.After(ledgerTime)
	for playing, batch := true, 0; playing; batch++ {
		model := models[batch%len(models)]
		for range batchSize {
			callers.Go(func() {
				entry, wanted := fleet.entries[rand.IntN(len(fleet.entries))], fmt.Sprintf("%s/a%d", model, 1+rand.IntN(adapters))
				outcome := entry.send(call{
					method: http.MethodPost, path: verdictPath + "1", body: wanted, model: wanted, tokens: "100,20", deadline: verdictTimeout, patience: verdictTimeout + answerSlack,
				})
				record.add("answer: verdict with %s through %s: %v", wanted, entry.name, outcome)
			})
		}
		select {
		case <-over:
			playing = false
		case <-ended:
			playing = false
		case <-time.After(300*time.Millisecond + rand.N(200*time.Millisecond)):
		}
	}
	time.Sleep(time.Second)
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	record.add("%d orders to load more than an engine has places for", broken)
	return broken > 0, nil
}
