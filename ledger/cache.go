package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// cache is the KV cache reserved for one generation.
type cache struct {
	item  Item
	bytes int64
	// abandoned reports whether the generation was given up while the engine
	// may still run it.
	abandoned bool
	// latestArrival bounds the time at which an abandoned generation can still
	// reach the engine.
	latestArrival time.Time
	// cancelling reports whether a cancellation is in flight.
	cancelling bool
	// retryAt is when the next cancellation is due.
	retryAt time.Time
}

// ReserveCache reserves the KV cache of a generation, for its prompt and its
// longest output together, and reports whether it could. It leaves room for
// wanted items that are not loaded yet.
func (ledger *Ledger) ReserveCache(now time.Time, request names.Request, item Item, bytes int64) bool {
	_, found := ledger.caches[request]
	if found || ledger.predecessor.active || !ledger.MayGenerate(now) {
		return false
	}
	if !ledger.Usable(item.base()) || !ledger.Usable(item) {
		return false
	}
	if max(ledger.weightBytes(), ledger.wantedBytes())+ledger.cacheBytes+bytes > ledger.config.MemoryBytes {
		return false
	}
	ledger.caches[request] = &cache{item: item, bytes: bytes}
	ledger.cacheBytes += bytes
	ledger.addItemUsers(item, 1)
	return true
}

// MaxCacheBytes returns the largest KV cache that a single generation could
// reserve under the current target.
func (ledger *Ledger) MaxCacheBytes() int64 { return ledger.config.MemoryBytes - ledger.wantedBytes() }

func (ledger *Ledger) wantedBytes() int64 {
	var total int64
	for _, weights := range ledger.target.Items {
		total += weights.Bytes
	}
	return total
}

// addItemUsers changes the number of generations that use item and its base
// model.
func (ledger *Ledger) addItemUsers(item Item, change int) {
	ledger.addUsers(item.base(), change)
	if item.Adapter != "" {
		ledger.addUsers(item, change)
	}
}

func (ledger *Ledger) addUsers(item Item, change int) {
	ledger.users[item] += change
	if ledger.users[item] == 0 {
		delete(ledger.users, item)
	}
}

// ReleaseCache frees the KV cache of a generation that the engine has finished,
// or that was not sent and never will be.
func (ledger *Ledger) ReleaseCache(request names.Request) {
	cache, found := ledger.caches[request]
	if !found {
		return
	}
	delete(ledger.caches, request)
	ledger.cacheBytes -= cache.bytes
	ledger.addItemUsers(cache.item, -1)
}

// AbandonCache gives up a generation that the engine may still run, or may yet
// receive. Its KV cache is freed once the engine acknowledges a cancellation
// that was sent after the last time at which the generation, or a duplicate of
// it, can arrive.
func (ledger *Ledger) AbandonCache(now time.Time, request names.Request) {
	ledger.abandon(now, request, now.Add(ledger.config.OrderLifetime))
}

// AbandonRunning is like [Ledger.AbandonCache] for a generation that has
// produced output. It is known to have arrived, so that the first acknowledged
// cancellation frees its KV cache.
func (ledger *Ledger) AbandonRunning(now time.Time, request names.Request) {
	ledger.abandon(now, request, time.Time{})
}

func (ledger *Ledger) abandon(now time.Time, request names.Request, latestArrival time.Time) {
	cache, found := ledger.caches[request]
	if !found || cache.abandoned {
		return
	}
	cache.abandoned, cache.latestArrival, cache.retryAt = true, latestArrival, now
}

// cancelAbandoned emits the cancellations that are due.
func (ledger *Ledger) cancelAbandoned(now time.Time) {
	for request, cache := range ledger.caches {
		if cache.abandoned && !cache.cancelling && !now.Before(cache.retryAt) {
			cache.cancelling = true
			ledger.emit(CancelGeneration{Request: request})
		}
	}
}

// cancelAcknowledged frees the KV cache of a cancelled generation, or schedules
// another cancellation if the generation could still arrive after this one.
func (ledger *Ledger) cancelAcknowledged(now time.Time, acknowledged CancelAcknowledged) {
	cache, found := ledger.caches[acknowledged.Request]
	if !found || !cache.cancelling {
		return
	}
	cache.cancelling = false
	if acknowledged.RequestedAt.After(cache.latestArrival) {
		ledger.ReleaseCache(acknowledged.Request)
		return
	}
	cache.retryAt = later(now, cache.latestArrival).Add(ledger.config.RetryWait)
}

func (ledger *Ledger) cancelUnanswered(now time.Time, request names.Request) {
	if cache, found := ledger.caches[request]; found {
		cache.cancelling = false
		cache.retryAt = now.Add(ledger.config.RetryWait)
	}
}
