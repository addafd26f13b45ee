package quota

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

// maxCandidateAge bounds the age of the candidates that are answered from memory.
const maxCandidateAge = time.Second

// candidateCache remembers the candidates of each shard for a short time.
type candidateCache struct {
	peers Peers
	clock *clock.Service
	// mu guards what follows. It is taken last.
	mu      sync.Mutex
	livePeers  []Peer
	readAt      time.Time
	byShard  [Shards][]Peer
	valid [Shards]bool
}

func newCandidateCache(peers Peers, service *clock.Service) *candidateCache {
	return &candidateCache{peers: peers, clock: service}
}

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

// live returns the live instances; the caller must not change them.
func (candidateCache *candidateCache) live() []Peer {
	candidateCache.mu.Lock()
	defer candidateCache.mu.Unlock()
	candidateCache.refresh(candidateCache.clock.Now())
	return candidateCache.livePeers
}

// refresh reads the live instances anew once they are old, and forgets the
// candidates if they have changed.
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
