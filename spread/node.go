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
	self   Peer
	random *rand.Rand
	live   []Peer
	plan   plan
	// held is the version in force here; it only rises.
	held config.Version
	// heard is the highest version known of; it only rises.
	heard config.Version
	// offered tells that source has a version above the one held; an empty
	// source is the platform's service.
	offered bool
	source  names.Instance
	// fetching tells that a fetch is under way since fetchingAt.
	fetching   bool
	fetchingAt time.Duration
	evidence   evidence
	slots      []*slot
	followers  map[names.Instance]*follower
	watching   bool
	reading    bool
	readAt     time.Duration
	exchangeAt time.Duration
	// anchorNow asks for anchors at the next opportunity, for they carry the
	// version and the standing upwards.
	anchorNow bool
	// standingChanged asks for anchors at the next tick, so that the standings
	// of many followers go up as one.
	standingChanged bool
	actions         []Action
}

// NewNode returns a node that holds no version yet.
func NewNode(config NodeConfig) *Node {
	return &Node{
		self:      config.Self,
		random:    config.Random,
		evidence:  newEvidence(),
		followers: map[names.Instance]*follower{},
		readAt:    -readPeriod,
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
		node.replan(now, input.Live)
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
		node.hear(input.Version, input.From)
	}
	node.fetch(now)
	node.sendNews(now)
	node.sendAnchors(now)
	return node.actions
}

func (node *Node) do(action Action) { node.actions = append(node.actions, action) }

// InForce returns the version in force here.
func (node *Node) InForce() config.Version { return node.held }

// LatestKnown returns the highest version known of.
func (node *Node) LatestKnown() config.Version { return node.heard }

// FreshAt returns the latest time at which the version in force here is known
// to have been the latest. It is false where none is.
func (node *Node) FreshAt() (time.Duration, bool) {
	freshAt, fresh := node.evidence.covered.at, node.evidence.covered.known
	outageAt, outage := node.evidence.outage(node.plan.domains, node.held)
	if outage && node.held > 0 && node.held >= node.heard && (!fresh || outageAt > freshAt) {
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
func (node *Node) Relays() []Peer { return node.plan.relays }

// tick does what is due.
func (node *Node) tick(now time.Duration) {
	if node.standingChanged {
		node.standingChanged, node.anchorNow = false, true
	}
	node.readStore(now)
	node.checkSlots(now)
	node.forgetFollowers(now)
	if node.fetching && now-node.fetchingAt > fetchTimeout {
		node.fetching = false
	}
	if now-node.exchangeAt >= exchangePeriod {
		node.exchange(now)
	}
}

// readStore starts a relay's read of the version.
func (node *Node) readStore(now time.Duration) {
	if node.plan.relay != node.watching {
		node.watching = node.plan.relay
		node.do(WatchStore{On: node.watching})
	}
	overdue := now-node.readAt >= 2*ReadTimeout
	if !node.plan.relay || now-node.readAt < readPeriod || (node.reading && !overdue) {
		return
	}
	node.reading = true
	node.readAt = now
	node.do(ReadStore{SentAt: now})
}

func (node *Node) storeRead(input StoreRead) {
	if input.SentAt >= node.readAt {
		node.reading = false
	}
	if input.Reached {
		node.evidence.confirm(reading{at: input.SentAt, version: input.Version, known: true}, node.held)
		node.hear(input.Version, "")
		return
	}
	if node.held > 0 {
		node.evidence.fail(node.self.Domain, reading{at: input.SentAt, version: node.heard, known: true})
	}
}

// hear notes that source has version.
func (node *Node) hear(version config.Version, source names.Instance) {
	if version > node.held && (version > node.heard || !node.offered) {
		node.offered = true
		node.source = source
	}
	node.heard = max(node.heard, version)
}

// fetch brings a version that is offered into force.
func (node *Node) fetch(now time.Duration) {
	if !node.offered || node.fetching {
		return
	}
	node.fetching = true
	node.fetchingAt = now
	node.do(Fetch{Peer: node.source, Version: node.heard})
}

// fetched ends a fetch. After a failure, whoever tells of a higher version
// next becomes the source.
func (node *Node) fetched(input Fetched) {
	node.fetching = false
	if input.OK && input.Version > node.held {
		node.held = input.Version
		node.heard = max(node.heard, node.held)
		node.evidence.adopt(node.held)
		node.anchorNow = true
	}
	node.offered = false
}

// newsReceived adds what a followed peer or an exchange tells.
func (node *Node) newsReceived(now time.Duration, input NewsReceived) {
	if input.Anchor > now {
		// The anchor is not of this process.
		return
	}
	before, _ := node.FreshAt()
	node.evidence.merge(input.Anchor, input.News, node.held)
	node.hear(input.News.Version, input.From)
	after, _ := node.FreshAt()
	for _, slot := range node.slots {
		if slot.trying && slot.candidates[0] == input.From {
			node.prefer(now, slot)
		}
		if !slot.following || slot.peer() != input.From {
			continue
		}
		slot.heard = now
		if after > before && !node.plan.relay {
			slot.fresh = now
		}
	}
}

// exchange compares versions with a random peer.
func (node *Node) exchange(now time.Duration) {
	node.exchangeAt = now
	if len(node.live) < 2 {
		return
	}
	peer := node.live[node.random.IntN(len(node.live))]
	if peer.Instance != node.self.Instance {
		node.do(Exchange{Peer: peer.Instance, Anchor: now})
	}
}

// replan takes a new list of live instances.
func (node *Node) replan(now time.Duration, live []Peer) {
	for _, slot := range node.slots {
		if slot.trying {
			node.endTry(slot)
		}
	}
	node.live = live
	node.plan = newPlan(node.self, live)
	kept := make([]*slot, 0, len(node.plan.slots))
	for _, list := range node.plan.slots {
		kept = append(kept, node.slotFor(list))
	}
	for _, old := range node.slots {
		if old.following && !slices.ContainsFunc(kept, func(slot *slot) bool { return slot.following && slot.peer() == old.peer() }) {
			node.do(Unfollow{Peer: old.peer()})
		}
	}
	node.slots = kept
	node.checkSlots(now)
}

// slotFor returns the slot that already follows the first of list, or a new
// one.
func (node *Node) slotFor(list []names.Instance) *slot {
	for _, old := range node.slots {
		if old.following && len(list) > 0 && old.peer() == list[0] {
			old.candidates, old.index = list, 0
			return old
		}
	}
	return &slot{candidates: list}
}
