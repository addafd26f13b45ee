package ident

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

// DefaultReplayCapacity bounds a replay cache where settings do not.
const DefaultReplayCapacity = 1 << 16

// replayPeriod is the longest time in which a ticket can be accepted.
const replayPeriod = TicketLifetime + 2*MaxClockSkew

// replayKey identifies an attempt.
type replayKey [16]byte

func replayKeyOf(ticket Ticket) replayKey {
	content := binary.BigEndian.AppendUint32([]byte(ticket.Request), ticket.Attempt)
	sum := sha256.Sum256(content)
	return replayKey(sum[:16])
}

// replayCache remembers used tickets in two generations, each of which spans
// at least the time in which a ticket can be accepted. It is safe for
// concurrent use.
type replayCache struct {
	// mutex guards the fields below. No other lock is taken under it.
	mutex    sync.Mutex
	capacity int
	turned   time.Time
	latest   map[replayKey]struct{}
	former   map[replayKey]struct{}
}

func newReplayCache(capacity int) *replayCache {
	return &replayCache{capacity: capacity, latest: map[replayKey]struct{}{}}
}

// add remembers key. It returns the reason why the ticket is not accepted, or
// an empty one. A full cache accepts nothing, rather than forget.
func (cache *replayCache) add(key replayKey, now time.Time) TicketReason {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if now.Sub(cache.turned) > replayPeriod {
		cache.former, cache.latest, cache.turned = cache.latest, map[replayKey]struct{}{}, now
	}
	if _, used := cache.latest[key]; used {
		return ReasonReplayed
	}
	if _, used := cache.former[key]; used {
		return ReasonReplayed
	}
	if len(cache.latest) >= cache.capacity {
		return ReasonCapacity
	}
	cache.latest[key] = struct{}{}
	return ""
}
