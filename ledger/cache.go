package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// cache is the KV cache reserved for one generation.
type cache struct {
	item  Item
	bytes int64
	// abandoned tells that the engine may still run the generation.
	abandoned bool
	// latestArrival bounds the time at which it can still arrive at the engine.
	latestArrival time.Time
	cancelling    bool
	retryAt       time.Time
}

// ReserveCache reserves the KV cache of a generation, prompt and longest output
// together, and tells whether it could. It leaves room for wanted items that
// are not loaded yet.
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

// MaxCacheBytes returns the most KV cache that one generation could ever reserve.
func (ledger *Ledger) MaxCacheBytes() int64 { return ledger.config.MemoryBytes - ledger.wantedBytes() }

func (ledger *Ledger) wantedBytes() int64 {
	var total int64
	for _, weights := range ledger.target.Items {
		total += weights.Bytes
	}
	return total
}

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

// ReleaseCache frees the KV cache of a generation whose stream ended whole, or
// that was never sent and never will be.
func (ledger *Ledger) ReleaseCache(request names.Request) {
	cache, found := ledger.caches[request]
	if !found {
		return
	}
	delete(ledger.caches, request)
	ledger.cacheBytes -= cache.bytes
	ledger.addItemUsers(cache.item, -1)
}

// AbandonCache tells that a generation ended in a way that leaves open whether
// the engine still runs it, or is yet to. Its KV cache is freed once a
// cancellation is answered that no copy of the generation can come after.
func (ledger *Ledger) AbandonCache(now time.Time, request names.Request) {
	ledger.abandon(now, request, now.Add(ledger.config.OrderLifetime))
}

// AbandonRunning is [Ledger.AbandonCache] for a generation that gave output, so
// that it is known to have arrived: the first answered cancellation frees it.
func (ledger *Ledger) AbandonRunning(now time.Time, request names.Request) {
	ledger.abandon(now, request, time.Time{})
}

func (ledger *Ledger) abandon(now time.Time, request names.Request, arrivesUntil time.Time) {
	cache, found := ledger.caches[request]
	if !found || cache.abandoned {
		return
	}
	cache.abandoned, cache.latestArrival, cache.retryAt = true, arrivesUntil, now
}

func (ledger *Ledger) cancelAbandoned(now time.Time) {
	for request, cache := range ledger.caches {
		if cache.abandoned && !cache.cancelling && !now.Before(cache.retryAt) {
			cache.cancelling = true
			ledger.emit(CancelGeneration{Request: request})
		}
	}
}

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
