package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// NodeConfig configures a [Node].
type NodeConfig struct {
	Self Peer
	// Random picks the peers to compare versions with.
	Random *rand.Rand
}

// Node decides what one instance does to obtain the latest configuration and to
// forward it to others. It does no I/O and receives the time as an argument. It
// is not safe for concurrent use.
type Node struct {
	self     Peer
	random   *rand.Rand
	live     []Peer
	topology topology
	// inForce is the version in force here; it only rises.
	inForce config.Version
	// latestKnown is the highest version that this instance knows of; it only
	// rises.
	latestKnown config.Version
	// updateAvailable reports whether source has a version above inForce. An empty
	// source is the platform's service.
	updateAvailable bool
	source          names.Instance
	// fetching reports whether a fetch is in progress, since fetchStartedAt.
	fetching       bool
	fetchStartedAt time.Duration
	evidence       evidence
	upstreams      []*upstream
	followers      map[names.Instance]*follower
	watching       bool
	reading        bool
	lastReadAt     time.Duration
	lastExchangeAt time.Duration
	// anchorNow requests anchors at the end of the current step. Anchors carry the
	// version and the version counts towards the relays.
	anchorNow bool
	// countsChanged requests anchors at the next tick, so that changed counts of
	// many followers are sent together.
	countsChanged bool
	actions       []Action
}

// NewNode returns a node that has no version in force.
func NewNode(config NodeConfig) *Node {
	return &Node{
		self:       config.Self,
		random:     config.Random,
		evidence:   newEvidence(),
		followers:  map[names.Instance]*follower{},
		lastReadAt: -readPeriod,
	}
}

// Step handles an input at the time now of the instance's monotonic clock and
// returns the actions to carry out, in order.
func (node *Node) Step(now time.Duration, input Input) []Action {
	node.actions = nil
	switch input := input.(type) {
	case Tick:
		node.tick(now)
	case PeersChanged:
		node.peersChanged(now, input.Live)
	case StoreRead:
		node.storeRead(input)
	case Fetched:
		node.fetched(input)
	case NewsReceived:
		node.newsReceived(now, input)
	case FollowEnded:
		node.followEnded(input.Peer)
	case AnchorReceived:
		node.anchorReceived(now, input)
	case FollowerLeft:
		delete(node.followers, input.Follower)
	case VersionReported:
		node.recordVersion(input.Version, input.From)
	}
	node.fetch(now)
	node.sendNews(now)
	node.sendAnchors(now)
	return node.actions
}

func (node *Node) emit(action Action) { node.actions = append(node.actions, action) }

// InForce returns the version in force here, or 0 if there is none.
func (node *Node) InForce() config.Version { return node.inForce }

// LatestKnown returns the highest version that this instance knows of.
func (node *Node) LatestKnown() config.Version { return node.latestKnown }

// FreshAt returns the latest time at which the version in force here is known
// to have been the latest. It returns false if there is no such time.
func (node *Node) FreshAt() (time.Duration, bool) {
	freshAt, fresh := node.evidence.applied.at, node.evidence.applied.known
	outageAt, outage := node.evidence.outage(node.topology.domains, node.inForce)
	if outage && node.inForce > 0 && node.inForce >= node.latestKnown && (!fresh || outageAt > freshAt) {
		return outageAt, true
	}
	return freshAt, fresh
}

// Fresh reports whether the version in force is known to have been the latest at
// most [FreshnessBound] before now.
func (node *Node) Fresh(now time.Duration) bool {
	freshAt, ok := node.FreshAt()
	return ok && now-freshAt <= FreshnessBound
}

// Relays lists the relays of every failure domain.
func (node *Node) Relays() []Peer { return node.topology.relays }

// tick carries out periodic work and timeouts.
func (node *Node) tick(now time.Duration) {
	if node.countsChanged {
		node.countsChanged, node.anchorNow = false, true
	}
	node.readStore(now)
	node.checkUpstreams(now)
	node.expireFollowers(now)
	if node.fetching && now-node.fetchStartedAt > fetchTimeout {
		node.fetching = false
	}
	if now-node.lastExchangeAt >= exchangePeriod {
		node.exchange(now)
	}
}

// readStore starts and stops a relay's watch and starts its periodic reads of
// the version. A read without a result blocks the next one for at most twice
// [ReadTimeout].
func (node *Node) readStore(now time.Duration) {
	if node.topology.relay != node.watching {
		node.watching = node.topology.relay
		node.emit(WatchStore{On: node.watching})
	}
	overdue := now-node.lastReadAt >= 2*ReadTimeout
	if !node.topology.relay || now-node.lastReadAt < readPeriod || (node.reading && !overdue) {
		return
	}
	node.reading = true
	node.lastReadAt = now
	node.emit(ReadStore{SentAt: now})
}

// storeRead records the result of a read or watch. A failed read counts as
// evidence only after the first version came into force.
func (node *Node) storeRead(input StoreRead) {
	if input.SentAt >= node.lastReadAt {
		node.reading = false
	}
	if input.Reached {
		node.evidence.addConfirmation(observation{at: input.SentAt, version: input.Version, known: true}, node.inForce)
		node.recordVersion(input.Version, "")
		return
	}
	if node.inForce > 0 {
		node.evidence.addFailure(node.self.Domain, observation{at: input.SentAt, version: node.latestKnown, known: true})
	}
}

// recordVersion records that source has version.
func (node *Node) recordVersion(version config.Version, source names.Instance) {
	if version > node.inForce && (version > node.latestKnown || !node.updateAvailable) {
		node.updateAvailable = true
		node.source = source
	}
	node.latestKnown = max(node.latestKnown, version)
}

// fetch starts a fetch if an update is available and no fetch is in progress.
func (node *Node) fetch(now time.Duration) {
	if !node.updateAvailable || node.fetching {
		return
	}
	node.fetching = true
	node.fetchStartedAt = now
	node.emit(Fetch{Peer: node.source, Version: node.latestKnown})
}

// fetched handles the result of a fetch. After a failure, the next peer that
// reports a version above the one in force becomes the source.
func (node *Node) fetched(input Fetched) {
	node.fetching = false
	if input.OK && input.Version > node.inForce {
		node.inForce = input.Version
		node.latestKnown = max(node.latestKnown, node.inForce)
		node.evidence.markApplied(node.inForce)
		node.anchorNow = true
	}
	node.updateAvailable = false
}

// newsReceived handles news from a followed peer or an exchange.
func (node *Node) newsReceived(now time.Duration, input NewsReceived) {
	if input.Anchor > now {
		// An earlier process with this instance's name sent the anchor.
		return
	}
	before, _ := node.FreshAt()
	node.evidence.merge(input.Anchor, input.News, node.inForce)
	node.recordVersion(input.News.Version, input.From)
	after, _ := node.FreshAt()
	for _, upstream := range node.upstreams {
		if upstream.probing && upstream.candidates[0] == input.From {
			node.returnToPreferred(now, upstream)
		}
		if !upstream.following || upstream.peer() != input.From {
			continue
		}
		upstream.newsAt = now
		if after > before && !node.topology.relay {
			upstream.fresherAt = now
		}
	}
}

// exchange compares versions with a random peer. It does nothing if the random
// choice is this instance.
func (node *Node) exchange(now time.Duration) {
	node.lastExchangeAt = now
	if len(node.live) < 2 {
		return
	}
	peer := node.live[node.random.IntN(len(node.live))]
	if peer.Instance != node.self.Instance {
		node.emit(Exchange{Peer: peer.Instance, Anchor: now})
	}
}

// peersChanged replaces the list of live instances. Upstreams whose peer is
// still preferred keep following it.
func (node *Node) peersChanged(now time.Duration, live []Peer) {
	for _, upstream := range node.upstreams {
		if upstream.probing {
			node.endProbe(upstream)
		}
	}
	node.live = live
	node.topology = newTopology(node.self, live)
	kept := make([]*upstream, 0, len(node.topology.upstreams))
	for _, list := range node.topology.upstreams {
		kept = append(kept, node.upstreamFor(list))
	}
	for _, old := range node.upstreams {
		if old.following && !slices.ContainsFunc(kept, func(upstream *upstream) bool { return upstream.following && upstream.peer() == old.peer() }) {
			node.emit(Unfollow{Peer: old.peer()})
		}
	}
	node.upstreams = kept
	node.checkUpstreams(now)
}

// upstreamFor returns an upstream with the candidates in list: the one that
// already follows the first of them, or a new one.
func (node *Node) upstreamFor(list []names.Instance) *upstream {
	for _, old := range node.upstreams {
		if old.following && len(list) > 0 && old.peer() == list[0] {
			old.candidates, old.index = list, 0
			return old
		}
	}
	return &upstream{candidates: list}
}
