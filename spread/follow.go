package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// checkSlots replaces followed peers that are silent or bring nothing fresh.
func (node *Node) checkSlots(now time.Duration) {
	for _, slot := range node.slots {
		if len(slot.candidates) == 0 {
			continue
		}
		switch {
		case !slot.following:
			node.choose(now, slot, slot.next)
		case slot.silent(now), node.stalled(now, slot):
			node.choose(now, slot, slot.index+1)
		case slot.strayed(now):
			node.try(now, slot)
		}
		if slot.trying && now-slot.triedAt > silenceLimit {
			node.endTry(slot)
		}
	}
}

// try follows the first choice besides the substitute, which is left only when
// the first choice sends news.
func (node *Node) try(now time.Duration, slot *slot) {
	slot.triedAt = now
	if node.follows(slot.candidates[0]) {
		return
	}
	slot.trying = true
	node.do(Follow{Peer: slot.candidates[0]})
	node.do(SendAnchor{Peer: slot.candidates[0], Anchor: now, Version: node.held})
}

func (node *Node) endTry(slot *slot) {
	slot.trying = false
	node.do(Unfollow{Peer: slot.candidates[0]})
}

// prefer leaves the substitute, for the first choice has sent news.
func (node *Node) prefer(now time.Duration, slot *slot) {
	node.do(Unfollow{Peer: slot.peer()})
	slot.trying = false
	slot.choose(now, 0)
	node.anchor(now, slot)
}

// stalled tells that a parent has brought nothing fresher for too long. Relays
// do not leave a peer for that: they read the service themselves.
func (node *Node) stalled(now time.Duration, slot *slot) bool {
	limit := stallLimit + time.Duration(node.plan.depth)*stallLimitDepth
	return !node.plan.relay && now-max(slot.fresh, slot.since) > limit
}

// choose follows the candidate at index in place of the present one.
func (node *Node) choose(now time.Duration, slot *slot, index int) {
	if slot.trying {
		node.endTry(slot)
	}
	if slot.following {
		slot.following = false
		if !node.follows(slot.peer()) {
			node.do(Unfollow{Peer: slot.peer()})
		}
	}
	index %= len(slot.candidates)
	if node.follows(slot.candidates[index]) {
		// Another slot has this peer; the next tick tries the one after it.
		slot.next = index + 1
		return
	}
	slot.choose(now, index)
	node.do(Follow{Peer: slot.peer()})
	node.anchor(now, slot)
}

func (node *Node) follows(peer names.Instance) bool {
	return slices.ContainsFunc(node.slots, func(slot *slot) bool {
		return (slot.following && slot.peer() == peer) || (slot.trying && slot.candidates[0] == peer)
	})
}

// followEnded leaves the choice of a substitute to the next tick, so that peers
// that refuse at once are not asked in a loop.
func (node *Node) followEnded(peer names.Instance) {
	for _, slot := range node.slots {
		if slot.trying && slot.candidates[0] == peer {
			slot.trying = false
		}
		if slot.following && slot.peer() == peer {
			slot.following = false
			slot.next = slot.index + 1
		}
	}
}

// sendAnchors sends the anchors that are due. They carry the version upwards,
// so that a change spreads from the instance that made it, too.
func (node *Node) sendAnchors(now time.Duration) {
	for _, slot := range node.slots {
		if slot.following && (node.anchorNow || now-slot.anchored >= anchorPeriod) {
			node.anchor(now, slot)
		}
	}
	node.anchorNow = false
}

func (node *Node) anchor(now time.Duration, slot *slot) {
	slot.anchored = now
	anchor := SendAnchor{Peer: slot.peer(), Anchor: now, Version: node.held}
	if !node.plan.relay {
		anchor.VersionCounts = node.VersionCounts()
	}
	node.do(anchor)
}

// anchorReceived makes or renews a follower.
func (node *Node) anchorReceived(now time.Duration, input AnchorReceived) {
	known := node.followers[input.Follower]
	if known == nil {
		if len(node.followers) >= maxFollowers {
			node.do(DropFollower{Follower: input.Follower})
			return
		}
		known = &follower{}
		node.followers[input.Follower] = known
	}
	if input.AnchorMicros < known.anchorMicros {
		return
	}
	known.anchorMicros = input.AnchorMicros
	known.arrived = now
	if !slices.Equal(known.standing, input.VersionCounts) {
		known.standing = input.VersionCounts
		node.standingChanged = !node.plan.relay
	}
	node.hear(input.Version, input.Follower)
}

func (node *Node) forgetFollowers(now time.Duration) {
	for instance, follower := range node.followers {
		if now-follower.arrived > followerLimit {
			delete(node.followers, instance)
			node.do(DropFollower{Follower: instance})
		}
	}
}

// sendNews sends each follower what it is due.
func (node *Node) sendNews(now time.Duration) {
	latest := node.digest()
	for _, instance := range slices.Sorted(maps.Keys(node.followers)) {
		follower := node.followers[instance]
		if !follower.due(now, latest) {
			continue
		}
		follower.note(now, latest)
		news := node.evidence.news(node.held, follower.arrived)
		node.do(SendNews{Follower: instance, AnchorMicros: follower.anchorMicros, News: news})
	}
}

func (node *Node) digest() digest {
	latest := digest{version: node.held, confirmed: node.evidence.confirmed.at}
	if at, ok := node.evidence.outage(node.plan.domains, node.held); ok {
		latest.outage = at
	}
	if failed, ok := node.evidence.failed[node.self.Domain]; ok && node.plan.relay {
		latest.failed = failed.at
	}
	return latest
}

// News answers an [Exchange] whose request arrived at a time.
func (node *Node) News(arrived time.Duration) News { return node.evidence.news(node.held, arrived) }

// VersionCounts counts the instances at each version, this one and those that
// follow it in the tree. The lowest versions are counted as version 0.
func (node *Node) VersionCounts() []VersionCount {
	counts := map[config.Version]int{node.held: 1}
	for _, follower := range node.followers {
		for _, count := range follower.standing {
			counts[count.Version] += count.Count
		}
	}
	standing := make([]VersionCount, 0, len(counts))
	for version, count := range counts {
		standing = append(standing, VersionCount{Version: version, Count: count})
	}
	slices.SortFunc(standing, func(a, b VersionCount) int { return cmp.Compare(b.Version, a.Version) })
	if len(standing) <= maxStanding {
		return standing
	}
	lowest := VersionCount{}
	for _, count := range standing[maxStanding-1:] {
		lowest.Count += count.Count
	}
	return append(standing[:maxStanding-1], lowest)
}
