package quota

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// ShardOf returns the shard that an account belongs to.
func ShardOf(account names.ClientAccount) int {
	return int(xxhash.Sum64String(string(account)) % Shards)
}

// Candidates returns the instance that should hold each seat of a shard, chosen
// by rendezvous hashing. Seats go to different failure domains if there are
// enough, or else to different instances if there are enough. The result is
// empty if live is, and otherwise has one instance per seat.
func Candidates(shard int, live []Peer) []Peer {
	if len(live) == 0 {
		return nil
	}
	domains := rankDomains(shard, live)
	chosen := make([]Peer, 0, Seats)
	for seat := range Seats {
		domain := domains[seat%len(domains)]
		peer, ok := bestPeer(shard, seat, live, func(peer Peer) bool {
			return peer.Domain == domain && !containsInstance(chosen, peer)
		})
		if !ok {
			peer, ok = bestPeer(shard, seat, live, func(peer Peer) bool { return !containsInstance(chosen, peer) })
		}
		if !ok {
			peer, _ = bestPeer(shard, seat, live, func(Peer) bool { return true })
		}
		chosen = append(chosen, peer)
	}
	return chosen
}

// rankDomains returns the failure domains of live in descending order of weight.
func rankDomains(shard int, live []Peer) []names.FailureDomain {
	weights := map[names.FailureDomain]uint64{}
	for _, peer := range live {
		weights[peer.Domain] = rendezvousWeight(shard, 0, string(peer.Domain))
	}
	domains := make([]names.FailureDomain, 0, len(weights))
	for domain := range weights {
		domains = append(domains, domain)
	}
	sort.Slice(domains, func(i, j int) bool {
		if weights[domains[i]] != weights[domains[j]] {
			return weights[domains[i]] > weights[domains[j]]
		}
		return domains[i] < domains[j]
	})
	return domains
}

// bestPeer returns the eligible instance with the highest weight for a seat.
func bestPeer(shard, seat int, live []Peer, eligible func(Peer) bool) (Peer, bool) {
	var chosen Peer
	var most uint64
	found := false
	for _, peer := range live {
		if !eligible(peer) {
			continue
		}
		weight := rendezvousWeight(shard, seat, string(peer.Instance))
		better := weight > most || weight == most && peer.Instance < chosen.Instance
		if !found || better {
			chosen, most, found = peer, weight, true
		}
	}
	return chosen, found
}

func containsInstance(peers []Peer, peer Peer) bool {
	for _, each := range peers {
		if each.Instance == peer.Instance {
			return true
		}
	}
	return false
}

func rendezvousWeight(shard, seat int, name string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "/" + strconv.Itoa(seat) + "/" + name)
}
