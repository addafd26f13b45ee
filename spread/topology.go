package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// topology is an instance's position in the tree of its failure domain. It
// depends only on the list of live instances. Instances with different lists may
// disagree for a while, which only costs additional messages.
type topology struct {
	// relay reports whether the instance is a relay, which reads the platform's
	// service.
	relay bool
	// depth is the number of levels below the relays in the tree.
	depth int
	// upstreams lists, for each peer to follow, its candidates, preferred first.
	upstreams [][]names.Instance
	// relays lists the relays of every failure domain.
	relays []Peer
	// domains lists the failure domains, sorted.
	domains []names.FailureDomain
}

// newTopology computes the position of self among the live instances.
func newTopology(self Peer, live []Peer) topology {
	ranked := rank(live)
	topology := topology{}
	for domain := range ranked {
		topology.domains = append(topology.domains, domain)
	}
	slices.Sort(topology.domains)
	for _, domain := range topology.domains {
		topology.relays = append(topology.relays, relaysOf(ranked[domain])...)
	}
	domainPeers := ranked[self.Domain]
	position := slices.IndexFunc(domainPeers, func(peer Peer) bool { return peer.Instance == self.Instance })
	if position < 0 {
		// An instance that is not in the list yet follows a relay.
		topology.depth = 1
		topology.upstreams = [][]names.Instance{relayCandidates(self, topology.relays)}
		return topology
	}
	if position < relaysPerDomain {
		topology.relay = true
		topology.upstreams = relayUpstreams(self, position, topology.domains, ranked)
		return topology
	}
	topology.depth = depth(position)
	list := slices.Concat(
		[]names.Instance{domainPeers[parentOf(position)].Instance},
		fallbacks(self, topology.depth, topology.domains, ranked),
		relayCandidates(self, topology.relays),
	)
	topology.upstreams = [][]names.Instance{unique(list, self.Instance)}
	return topology
}

// unique returns list without duplicates and without self.
func unique(list []names.Instance, self names.Instance) []names.Instance {
	var kept []names.Instance
	for _, instance := range list {
		if instance != self && !slices.Contains(kept, instance) {
			kept = append(kept, instance)
		}
	}
	return kept
}

// fallbacks lists instances to follow if the parent fails: two of the parent's
// level in its own failure domain, and one in each other domain. A child of a
// relay uses children of relays in other domains instead, because both relays of
// its own domain may have failed. The choice depends on self, which spreads the
// followers of a failed parent over many instances.
func fallbacks(self Peer, depth int, domains []names.FailureDomain, ranked map[names.FailureDomain][]Peer) []names.Instance {
	level := max(1, depth-1)
	var chosen []Peer
	for _, domain := range domains {
		peers := levelOf(ranked[domain], level)
		if len(peers) == 0 || (domain == self.Domain && depth == 1) {
			continue
		}
		first := int(preference(self, Peer{Instance: names.Instance(domain)}) % uint64(len(peers))) //nolint:gosec // The remainder is small.
		chosen = append(chosen, peers[first])
		if domain == self.Domain {
			chosen = append(chosen, peers[(first+1)%len(peers)])
		}
	}
	slices.SortStableFunc(chosen, func(a, b Peer) int { return cmp.Compare(distance(self, a), distance(self, b)) })
	list := make([]names.Instance, len(chosen))
	for i, peer := range chosen {
		list[i] = peer.Instance
	}
	return list
}

// levelOf returns the instances at a level of the tree of a failure domain, whose
// instances are ranked. Level 0 holds the relays.
func levelOf(ranked []Peer, level int) []Peer {
	start, size := 0, relaysPerDomain
	for range level {
		start += size
		size *= fanout
	}
	start = min(start, len(ranked))
	return ranked[start:min(start+size, len(ranked))]
}

// RelaysOf lists the relays of every failure domain among live instances.
func RelaysOf(live []Peer) []Peer { return newTopology(Peer{}, live).relays }

// rank groups the instances by failure domain and sorts each group by rendezvous
// hash. The position in the group determines the position in the tree.
func rank(live []Peer) map[names.FailureDomain][]Peer {
	ranked := map[names.FailureDomain][]Peer{}
	for _, peer := range live {
		ranked[peer.Domain] = append(ranked[peer.Domain], peer)
	}
	for _, peers := range ranked {
		slices.SortFunc(peers, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.Instance, b.Instance))
		})
	}
	return ranked
}

func score(peer Peer) uint64 {
	return xxhash.Sum64String("spread/" + string(peer.Domain) + "/" + string(peer.Instance))
}

func relaysOf(ranked []Peer) []Peer { return ranked[:min(relaysPerDomain, len(ranked))] }

// parentOf returns the position of the parent of the instance at position, which
// is not a relay.
func parentOf(position int) int { return (position - relaysPerDomain) / fanout }

// depth returns the number of levels from position up to the relays.
func depth(position int) int {
	depth := 0
	for position >= relaysPerDomain {
		position = parentOf(position)
		depth++
	}
	return depth
}

// relayCandidates lists the relays other than self, nearest first. The order of
// equally distant relays differs between instances, to spread load.
func relayCandidates(self Peer, relays []Peer) []names.Instance {
	sorted := slices.Clone(relays)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(preference(self, a), preference(self, b)),
		)
	})
	var list []names.Instance
	for _, relay := range sorted {
		if relay.Instance != self.Instance {
			list = append(list, relay.Instance)
		}
	}
	return list
}

// distance returns 0 for a peer in the same failure domain, 1 for one in the same
// region, and 2 for any other.
func distance(self, peer Peer) int {
	switch {
	case peer.Domain == self.Domain:
		return 0
	case peer.Region == self.Region:
		return 1
	default:
		return 2
	}
}

// preference returns a hash that makes instances prefer different peers.
func preference(self, peer Peer) uint64 {
	return xxhash.Sum64String("spread/" + string(self.Instance) + "/" + string(peer.Instance))
}

// relayUpstreams returns the candidates for each upstream of a relay, one
// upstream in each failure domain that has another relay: in its own domain the
// other relays, in each other domain all relays, with the one at the same
// position preferred.
func relayUpstreams(self Peer, position int, domains []names.FailureDomain, ranked map[names.FailureDomain][]Peer) [][]names.Instance {
	var upstreams [][]names.Instance
	for _, domain := range domains {
		relays := relaysOf(ranked[domain])
		var list []names.Instance
		for i := range relays {
			relay := relays[(position+i)%len(relays)]
			if relay.Instance != self.Instance {
				list = append(list, relay.Instance)
			}
		}
		if len(list) > 0 {
			upstreams = append(upstreams, list)
		}
	}
	return upstreams
}
