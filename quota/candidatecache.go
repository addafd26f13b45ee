package quota

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

// maxCandidateAge bounds the age of cached candidates.
const maxCandidateAge = time.Second

// candidateCache caches the live instances and the candidates of each shard.
type candidateCache struct {
	peers Peers
	clock *clock.Service
	// mu guards the fields below. It is acquired last.
	mu        sync.Mutex
	livePeers []Peer
	readAt    time.Time
	byShard   [Shards][]Peer
	valid     [Shards]bool
}

func newCandidateCache(peers Peers, service *clock.Service) *candidateCache {
	return &candidateCache{peers: peers, clock: service}
}

// forShard returns the candidates of a shard. The caller must not modify the
// slice.
func (candidateCache *candidateCache) forShard(shard int) []Peer {
	candidateCache.mu.Lock()
	defer candidateCache.mu.Unlock()
	candidateCache.refresh(candidateCache.clock.Now())
	if !candidateCache.valid[shard] {
		candidateCache.byShard[shard] = Candidates(shard, candidateCache.livePeers)
		candidateCache.valid[shard] = true
	}
	return candidateCache.byShard[shard]
}

// live returns the live instances. The caller must not modify the slice.
func (candidateCache *candidateCache) live() []Peer {
	candidateCache.mu.Lock()
	defer candidateCache.mu.Unlock()
	candidateCache.refresh(candidateCache.clock.Now())
	return candidateCache.livePeers
}

// refresh reads the live instances again if they are too old, and invalidates
// the candidates if they have changed.
func (candidateCache *candidateCache) refresh(now time.Time) {
	if !candidateCache.readAt.IsZero() && now.Sub(candidateCache.readAt) < maxCandidateAge {
		return
	}
	live := candidateCache.peers.Live()
	candidateCache.readAt = now
	if equalPeers(live, candidateCache.livePeers) {
		return
	}
	candidateCache.livePeers = append([]Peer(nil), live...)
	candidateCache.valid = [Shards]bool{}
}

func equalPeers(one, other []Peer) bool {
	if len(one) != len(other) {
		return false
	}
	for i := range one {
		if one[i] != other[i] {
			return false
		}
	}
	return true
}
