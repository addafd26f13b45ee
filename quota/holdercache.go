package quota

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// holderCache caches which instance holds each seat.
type holderCache struct {
	candidateCache *candidateCache
	// mu guards holders. It is acquired before the lock of candidateCache.
	mu      sync.Mutex
	holders map[seatKey]Peer
}

func newHolderCache(candidateCache *candidateCache) *holderCache {
	return &holderCache{candidateCache: candidateCache, holders: map[seatKey]Peer{}}
}

// lookup returns the known holder of a seat, or else the instance that should
// hold it.
func (holderCache *holderCache) lookup(shard, seat int) (Peer, bool) {
	holderCache.mu.Lock()
	defer holderCache.mu.Unlock()
	if peer, ok := holderCache.holders[seatKey{shard: shard, seat: seat}]; ok {
		return peer, true
	}
	candidates := holderCache.candidateCache.forShard(shard)
	if len(candidates) <= seat {
		return Peer{}, false
	}
	return candidates[seat], true
}

// redirect records an answer in which asked denied that it holds the seat, and
// reports whether the answer named another instance to ask.
func (holderCache *holderCache) redirect(shard, seat int, asked Peer, answer Answer) bool {
	holderCache.mu.Lock()
	defer holderCache.mu.Unlock()
	key := seatKey{shard: shard, seat: seat}
	if answer.Holder == "" || answer.Holder == asked.Instance {
		delete(holderCache.holders, key)
		return false
	}
	holderCache.holders[key] = Peer{Instance: answer.Holder, Address: answer.Address}
	return true
}

// forget removes a holder that did not answer.
func (holderCache *holderCache) forget(shard, seat int) {
	holderCache.mu.Lock()
	defer holderCache.mu.Unlock()
	delete(holderCache.holders, seatKey{shard: shard, seat: seat})
}

// nearSeat returns the seat of an account that an instance in domain asks first:
// one that should be held in the same domain, or else one chosen by hash.
func (holderCache *holderCache) nearSeat(account names.ClientAccount, domain names.FailureDomain) int {
	for seat, candidate := range holderCache.candidateCache.forShard(ShardOf(account)) {
		if candidate.Domain == domain {
			return seat
		}
	}
	return int(xxhash.Sum64String(string(domain)+"/"+string(account)) % Seats)
}
