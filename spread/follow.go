package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// checkUpstreams replaces followed peers that are silent or stalled, and probes
// preferred peers that are not followed.
func (node *Node) checkUpstreams(now time.Duration) {
	for _, upstream := range node.upstreams {
		if len(upstream.candidates) == 0 {
			continue
		}
		switch {
		case !upstream.following:
			node.switchTo(now, upstream, upstream.nextIndex)
		case upstream.silent(now), node.stalled(now, upstream):
			node.switchTo(now, upstream, upstream.index+1)
		case upstream.probeDue(now):
			node.probePreferred(now, upstream)
		}
		if upstream.probing && now-upstream.probedAt > silenceTimeout {
			node.endProbe(upstream)
		}
	}
}

// probePreferred follows the first candidate in addition to the current one,
// which is given up only when the first candidate sends news.
func (node *Node) probePreferred(now time.Duration, upstream *upstream) {
	upstream.probedAt = now
	if node.follows(upstream.candidates[0]) {
		return
	}
	upstream.probing = true
	node.emit(Follow{Peer: upstream.candidates[0]})
	node.emit(SendAnchor{Peer: upstream.candidates[0], Anchor: now, Version: node.inForce})
}

func (node *Node) endProbe(upstream *upstream) {
	upstream.probing = false
	node.emit(Unfollow{Peer: upstream.candidates[0]})
}

// returnToPreferred replaces the current candidate by the first one, which has
// sent news.
func (node *Node) returnToPreferred(now time.Duration, upstream *upstream) {
	node.emit(Unfollow{Peer: upstream.peer()})
	upstream.probing = false
	upstream.setCandidate(now, 0)
	node.sendAnchor(now, upstream)
}

// stalled reports whether a parent has sent no fresher evidence for too long.
// Relays do not replace a peer for this reason, because they read the platform's
// service themselves.
func (node *Node) stalled(now time.Duration, upstream *upstream) bool {
	limit := stallTimeout + time.Duration(node.topology.depth)*stallTimeoutPerLevel
	return !node.topology.relay && now-max(upstream.fresherAt, upstream.chosenAt) > limit
}

// switchTo follows the candidate at index instead of the current one.
func (node *Node) switchTo(now time.Duration, upstream *upstream, index int) {
	if upstream.probing {
		node.endProbe(upstream)
	}
	if upstream.following {
		upstream.following = false
		if !node.follows(upstream.peer()) {
			node.emit(Unfollow{Peer: upstream.peer()})
		}
	}
	index %= len(upstream.candidates)
	if node.follows(upstream.candidates[index]) {
		// Another upstream follows this peer; the next tick tries the next candidate.
		upstream.nextIndex = index + 1
		return
	}
	upstream.setCandidate(now, index)
	node.emit(Follow{Peer: upstream.peer()})
	node.sendAnchor(now, upstream)
}

// follows reports whether any upstream follows or probes peer.
func (node *Node) follows(peer names.Instance) bool {
	return slices.ContainsFunc(node.upstreams, func(upstream *upstream) bool {
		return (upstream.following && upstream.peer() == peer) || (upstream.probing && upstream.candidates[0] == peer)
	})
}

// followEnded marks the streams to peer as ended. The next tick chooses another
// candidate; waiting for it avoids a busy loop over peers that refuse at once.
func (node *Node) followEnded(peer names.Instance) {
	for _, upstream := range node.upstreams {
		if upstream.probing && upstream.candidates[0] == peer {
			upstream.probing = false
		}
		if upstream.following && upstream.peer() == peer {
			upstream.following = false
			upstream.nextIndex = upstream.index + 1
		}
	}
}

// sendAnchors sends the anchors that are due. They carry the version towards the
// relays, so that a change also spreads from the instance that made it.
func (node *Node) sendAnchors(now time.Duration) {
	for _, upstream := range node.upstreams {
		if upstream.following && (node.anchorNow || now-upstream.anchorSentAt >= anchorPeriod) {
			node.sendAnchor(now, upstream)
		}
	}
	node.anchorNow = false
}

func (node *Node) sendAnchor(now time.Duration, upstream *upstream) {
	upstream.anchorSentAt = now
	anchor := SendAnchor{Peer: upstream.peer(), Anchor: now, Version: node.inForce}
	if !node.topology.relay {
		anchor.VersionCounts = node.VersionCounts()
	}
	node.emit(anchor)
}

// anchorReceived adds or renews a follower. It ignores an anchor older than the
// follower's last one.
func (node *Node) anchorReceived(now time.Duration, input AnchorReceived) {
	known := node.followers[input.Follower]
	if known == nil {
		if len(node.followers) >= maxFollowers {
			node.emit(DropFollower{Follower: input.Follower})
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
	if !slices.Equal(known.versionCounts, input.VersionCounts) {
		known.versionCounts = input.VersionCounts
		node.countsChanged = !node.topology.relay
	}
	node.recordVersion(input.Version, input.Follower)
}

// expireFollowers drops followers whose last anchor is too old.
func (node *Node) expireFollowers(now time.Duration) {
	for instance, follower := range node.followers {
		if now-follower.arrived > followerTimeout {
			delete(node.followers, instance)
			node.emit(DropFollower{Follower: instance})
		}
	}
}

// sendNews sends news to each follower that is due to receive it.
func (node *Node) sendNews(now time.Duration) {
	latest := node.digest()
	for _, instance := range slices.Sorted(maps.Keys(node.followers)) {
		follower := node.followers[instance]
		if !follower.due(now, latest) {
			continue
		}
		follower.recordSent(now, latest)
		news := node.evidence.news(node.inForce, follower.arrived)
		node.emit(SendNews{Follower: instance, AnchorMicros: follower.anchorMicros, News: news})
	}
}

// digest returns the digest of what this instance knows now.
func (node *Node) digest() digest {
	latest := digest{version: node.inForce, confirmed: node.evidence.confirmed.at}
	if at, ok := node.evidence.outage(node.topology.domains, node.inForce); ok {
		latest.outage = at
	}
	if failed, ok := node.evidence.failures[node.self.Domain]; ok && node.topology.relay {
		latest.failed = failed.at
	}
	return latest
}

// News returns the reply to an [Exchange] whose request arrived at the given
// time.
func (node *Node) News(arrived time.Duration) News { return node.evidence.news(node.inForce, arrived) }

// VersionCounts counts, for each version in force, this instance and those below
// it in the tree, highest version first. If there are too many versions, the
// lowest are counted together as version 0.
func (node *Node) VersionCounts() []VersionCount {
	counts := map[config.Version]int{node.inForce: 1}
	for _, follower := range node.followers {
		for _, count := range follower.versionCounts {
			counts[count.Version] += count.Count
		}
	}
	versionCounts := make([]VersionCount, 0, len(counts))
	for version, count := range counts {
		versionCounts = append(versionCounts, VersionCount{Version: version, Count: count})
	}
	slices.SortFunc(versionCounts, func(a, b VersionCount) int { return cmp.Compare(b.Version, a.Version) })
	if len(versionCounts) <= maxVersionCounts {
		return versionCounts
	}
	lowest := VersionCount{}
	for _, count := range versionCounts[maxVersionCounts-1:] {
		lowest.Count += count.Count
	}
	return append(versionCounts[:maxVersionCounts-1], lowest)
}
