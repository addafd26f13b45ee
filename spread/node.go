package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// NodeConfig carries what a [Node] is built from.
type NodeConfig struct {
	Self Peer
	// Random picks the peers to compare versions with.
	Random *rand.Rand
}

// Node decides what one instance does to have the latest configuration and to
// pass it on. It does no I/O and takes time as an argument. It is not safe for
// concurrent use.
type Node struct {
	self     Peer
	random   *rand.Rand
	live     []Peer
	topology topology
	// inForce is the version in force here; it only rises.
	inForce config.Version
	// latestKnown is the highest version known of; it only rises.
	latestKnown config.Version
	// updateAvailable tells that source has a version above the one held; an empty
	// source is the platform's service.
	updateAvailable bool
	source          names.Instance
	// fetching tells that a fetch is under way since fetchingAt.
	fetching       bool
	fetchStartedAt time.Duration
	evidence       evidence
	upstreams      []*upstream
	followers      map[names.Instance]*follower
	watching       bool
	reading        bool
	lastReadAt     time.Duration
	lastExchangeAt time.Duration
	// anchorNow asks for anchors at the next opportunity, for they carry the
	// version and the standing upwards.
	anchorNow bool
	// countsChanged asks for anchors at the next tick, so that the standings
	// of many followers go up as one.
	countsChanged bool
	actions       []Action
}

// NewNode returns a node that holds no version yet.
func NewNode(config NodeConfig) *Node {
	return &Node{
		self:       config.Self,
		random:     config.Random,
		evidence:   newEvidence(),
		followers:  map[names.Instance]*follower{},
		lastReadAt: -readPeriod,
	}
}

// Step takes an input at a time of the instance's monotonic clock and returns
// what is to be done.
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

// InForce returns the version in force here.
func (node *Node) InForce() config.Version { return node.inForce }

// LatestKnown returns the highest version known of.
func (node *Node) LatestKnown() config.Version { return node.latestKnown }

// FreshAt returns the latest time at which the version in force here is known
// to have been the latest. It is false where none is.
func (node *Node) FreshAt() (time.Duration, bool) {
	freshAt, fresh := node.evidence.applied.at, node.evidence.applied.known
	outageAt, outage := node.evidence.outage(node.topology.domains, node.inForce)
	if outage && node.inForce > 0 && node.inForce >= node.latestKnown && (!fresh || outageAt > freshAt) {
		return outageAt, true
	}
	return freshAt, fresh
}

// Fresh tells whether the version in force was the latest within the bound.
func (node *Node) Fresh(now time.Duration) bool {
	freshAt, ok := node.FreshAt()
	return ok && now-freshAt <= FreshnessBound
}

// Relays lists the relays of every failure domain.
func (node *Node) Relays() []Peer { return node.topology.relays }

// tick does what is due.
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

// readStore starts a relay's read of the version.
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

// recordVersion notes that source has version.
func (node *Node) recordVersion(version config.Version, source names.Instance) {
	if version > node.inForce && (version > node.latestKnown || !node.updateAvailable) {
		node.updateAvailable = true
		node.source = source
	}
	node.latestKnown = max(node.latestKnown, version)
}

// fetch brings a version that is offered into force.
func (node *Node) fetch(now time.Duration) {
	if !node.updateAvailable || node.fetching {
		return
	}
	node.fetching = true
	node.fetchStartedAt = now
	node.emit(Fetch{Peer: node.source, Version: node.latestKnown})
}

// fetched ends a fetch. After a failure, whoever tells of a higher version
// next becomes the source.
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

// newsReceived adds what a followed peer or an exchange tells.
func (node *Node) newsReceived(now time.Duration, input NewsReceived) {
	if input.Anchor > now {
		// The anchor is not of this process.
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

// exchange compares versions with a random peer.
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

// peersChanged takes a new list of live instances.
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

// upstreamFor returns the slot that already follows the first of list, or a new
// one.
func (node *Node) upstreamFor(list []names.Instance) *upstream {
	for _, old := range node.upstreams {
		if old.following && len(list) > 0 && old.peer() == list[0] {
			old.candidates, old.index = list, 0
			return old
		}
	}
	return &upstream{candidates: list}
}
