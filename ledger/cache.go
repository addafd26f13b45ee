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
	// arrivesUntil bounds the time at which it can still arrive at the engine.
	arrivesUntil time.Time
	cancelling   bool
	retryAt      time.Time
}

// ReserveCache reserves the KV cache of a generation, prompt and longest output
// together, and tells whether it could. It leaves room for wanted items that
// are not loaded yet.
func (ledger *Ledger) ReserveCache(now time.Time, request names.Request, item Item, bytes int64) bool {
	_, taken := ledger.caches[request]
	if taken || ledger.foreign.present || !ledger.MayGenerate(now) {
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
	ledger.use(item, 1)
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

func (ledger *Ledger) use(item Item, change int) {
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
	reserved, found := ledger.caches[request]
	if !found {
		return
	}
	delete(ledger.caches, request)
	ledger.cacheBytes -= reserved.bytes
	ledger.use(reserved.item, -1)
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
	reserved, found := ledger.caches[request]
	if !found || reserved.abandoned {
		return
	}
	reserved.abandoned, reserved.arrivesUntil, reserved.retryAt = true, arrivesUntil, now
}

func (ledger *Ledger) cancelAbandoned(now time.Time) {
	for request, reserved := range ledger.caches {
		if reserved.abandoned && !reserved.cancelling && !now.Before(reserved.retryAt) {
			reserved.cancelling = true
			ledger.act(CancelGeneration{Request: request})
		}
	}
}

func (ledger *Ledger) cancelAnswered(now time.Time, answered CancelAcknowledged) {
	reserved, found := ledger.caches[answered.Request]
	if !found || !reserved.cancelling {
		return
	}
	reserved.cancelling = false
	if answered.RequestedAt.After(reserved.arrivesUntil) {
		ledger.ReleaseCache(answered.Request)
		return
	}
	reserved.retryAt = later(now, reserved.arrivesUntil).Add(ledger.config.RetryWait)
}

func (ledger *Ledger) cancelUnknown(now time.Time, request names.Request) {
	if reserved, found := ledger.caches[request]; found {
		reserved.cancelling = false
		reserved.retryAt = now.Add(ledger.config.RetryWait)
	}
}
