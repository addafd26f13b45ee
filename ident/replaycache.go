package ident

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

// DefaultReplayCapacity is the capacity of a replay cache if the settings give
// none.
const DefaultReplayCapacity = 1 << 16

// replayPeriod is the longest time for which a ticket can be accepted.
const replayPeriod = TicketLifetime + 2*MaxClockSkew

// replayKey identifies an attempt of a request.
type replayKey [16]byte

func replayKeyOf(ticket Ticket) replayKey {
	content := binary.BigEndian.AppendUint32([]byte(ticket.Request), ticket.Attempt)
	sum := sha256.Sum256(content)
	return replayKey(sum[:16])
}

// replayCache remembers used tickets in two generations. Each spans at least the
// time for which a ticket can be accepted, so that a ticket has expired before
// it is forgotten. It is safe for concurrent use.
type replayCache struct {
	// mutex guards the fields below. No other lock is acquired while it is held.
	mutex    sync.Mutex
	capacity int
	rotated  time.Time
	current  map[replayKey]struct{}
	previous map[replayKey]struct{}
}

func newReplayCache(capacity int) *replayCache {
	return &replayCache{capacity: capacity, current: map[replayKey]struct{}{}}
}

// add adds key to the cache. It returns the reason for which the ticket is
// refused, or an empty one. A full cache refuses further tickets, because
// evicting a used one would allow its replay.
func (cache *replayCache) add(key replayKey, now time.Time) TicketReason {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if now.Sub(cache.rotated) > replayPeriod {
		cache.previous, cache.current, cache.rotated = cache.current, map[replayKey]struct{}{}, now
	}
	if _, used := cache.current[key]; used {
		return ReasonReplayed
	}
	if _, used := cache.previous[key]; used {
		return ReasonReplayed
	}
	if len(cache.current) >= cache.capacity {
		return ReasonCapacity
	}
	cache.current[key] = struct{}{}
	return ""
}
