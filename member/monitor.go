package member

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// tick runs the periodic work that is due.
func (node *Node) tick() {
	node.handleTimeouts()
	if !node.now.Before(node.nextProbeAt) {
		node.nextProbeAt = node.now.Add(probePeriod)
		node.probeNext()
	}
	if !node.now.Before(node.nextCheckAt) {
		node.nextCheckAt = node.now.Add(suspectCheckPeriod)
		node.checkSuspects()
	}
	node.endRecoveries()
	node.dropTombstones()
	if !node.now.Before(node.nextListAt) {
		node.nextListAt = node.now.Add(node.listPeriod())
		node.emit(ReadList{})
	}
}

// listPeriod returns a random time until the next read of the list. Its mean
// grows with the fleet, so that the fleet's rate stays at listReadsPerSecond.
func (node *Node) listPeriod() time.Duration {
	period := time.Duration(node.table.liveCount()) * time.Second / listReadsPerSecond
	period = min(max(period, minListPeriod), maxListPeriod)
	return period/2 + time.Duration(node.random.Int64N(int64(period)))
}

// probeNext starts a round of probes: to the next successor in turn, in every
// reconnectEvery-th round to a failed member as well, and to a random member
// while this instance is not connected.
func (node *Node) probeNext() {
	node.probeRound++
	if node.probeRound%reconnectEvery == 0 && len(node.table.failed) > 0 {
		failed := sorted(node.table.failed)
		node.probe(failed[node.random.IntN(len(failed))])
	}
	if !node.connected() {
		node.probeRandom()
	}
	successors := node.successors()
	if len(successors) > 0 {
		node.probe(successors[node.probeRound%len(successors)])
	}
}

// probeRandom probes a random member, because an instance may still reach others
// when none of its neighbours reply.
func (node *Node) probeRandom() {
	ring := node.table.rings[0]
	if target := ring[node.random.IntN(len(ring))].instance; target != node.instance {
		node.probe(target)
	}
}

func (node *Node) probe(target names.Instance) {
	node.sequence++
	node.pendingProbes[node.sequence] = &pendingProbe{target: target, deadline: node.now.Add(probeTimeout)}
	node.sendProbe(node.sequence, target)
}

func (node *Node) sendProbe(sequence uint64, target names.Instance) {
	bucket := node.pickBucket()
	node.emit(SendProbe{
		Address: node.table.members[target].record.Member.Address(), Sequence: sequence,
		Probe: Probe{
			From: node.Self(), Records: node.recordsFor(target), Bucket: bucket, Digest: node.table.digests[bucket],
		},
	})
}

// pickBucket picks the bucket of the table to compare. It alternates between any
// bucket and one that holds a live member, because most buckets are empty in a
// small fleet.
func (node *Node) pickBucket() uint8 {
	if node.sequence%2 == 0 {
		return uint8(node.random.IntN(bucketCount))
	}
	ring := node.table.rings[0]
	return bucketOf(ring[node.random.IntN(len(ring))].instance)
}

// recordsFor returns the records to send to target: queued changes, and suspects
// that are about to fail, in case target has newer records of them. A target that
// is itself suspect or failed gets its own record, so that it can refute it, but
// no changes: it may not receive them, and each is sent a limited number of times.
func (node *Node) recordsFor(target names.Instance) []Record {
	member := node.table.members[target]
	suspected := member != nil && member.record.Health > Alive
	var instances []names.Instance
	if suspected {
		instances = append(instances, target)
	} else {
		instances = node.broadcasts.take(maxMessageRecords, node.table.liveCount())
	}
	return node.records(append(instances, node.pendingFailures(instances)...))
}

// pendingFailures returns at most maxSuspectRecords of the suspects that have
// enough accusations to fail, leaving out those in except.
func (node *Node) pendingFailures(except []names.Instance) []names.Instance {
	var found []names.Instance
	for instance := range node.table.suspects {
		if !node.table.members[instance].accusedSince.IsZero() && !slices.Contains(except, instance) {
			found = append(found, instance)
		}
	}
	slices.Sort(found)
	if len(found) <= maxSuspectRecords {
		return found
	}
	start := node.random.IntN(len(found) - maxSuspectRecords + 1)
	return found[start : start+maxSuspectRecords]
}

// handleTimeouts handles probes without a reply in time: the first timeout of a
// probe starts relays, the second accuses the target.
func (node *Node) handleTimeouts() {
	var overdue []uint64
	for sequence, pendingProbe := range node.pendingProbes {
		if !node.now.Before(pendingProbe.deadline) {
			overdue = append(overdue, sequence)
		}
	}
	slices.Sort(overdue)
	for _, sequence := range overdue {
		pendingProbe := node.pendingProbes[sequence]
		member := node.table.members[pendingProbe.target]
		if member == nil || !member.live() {
			delete(node.pendingProbes, sequence)
			continue
		}
		if pendingProbe.relayed || node.config.Disabled.Relays {
			delete(node.pendingProbes, sequence)
			node.accuse(member)
			continue
		}
		pendingProbe.relayed = true
		pendingProbe.deadline = node.now.Add(relayTimeout)
		node.relay(sequence, member)
	}
}

// relay repeats a probe, directly and through other instances.
func (node *Node) relay(sequence uint64, member *trackedMember) {
	node.sendProbe(sequence, member.record.Member.Instance())
	for _, via := range node.pickRelays(member) {
		node.emit(SendRelay{
			Via: via, Address: member.record.Member.Address(), Sequence: sequence,
			Probe: Probe{From: node.Self(), Records: []Record{member.record}, Digest: node.table.digests[0]},
		})
	}
}

// pickRelays returns the addresses of at most relayCount members to relay a probe
// to target. It prefers members outside the failure domains of this instance and
// of target.
func (node *Node) pickRelays(target *trackedMember) []string {
	ring := node.table.rings[0]
	var preferred, fallback []string
	start := node.random.IntN(len(ring))
	for offset := range len(ring) {
		member := node.table.members[ring[(start+offset)%len(ring)].instance]
		record := member.record
		if member == target || record.Health != Alive || record.Member.Instance() == node.instance {
			continue
		}
		domain := record.Member.Domain()
		if domain == node.config.Self.Domain() || domain == target.record.Member.Domain() {
			fallback = append(fallback, record.Member.Address())
			continue
		}
		preferred = append(preferred, record.Member.Address())
		if len(preferred) == relayCount {
			break
		}
	}
	return append(preferred, fallback[:min(len(fallback), relayCount-len(preferred))]...)
}

// accuse marks a member as accused on the rings on which this instance monitors
// it.
func (node *Node) accuse(member *trackedMember) {
	if !node.connected() {
		return
	}
	record := member.record
	before := record
	for ring := range ringCount {
		if node.table.rings.successor(ring, node.instance) == record.Member.Instance() {
			record.Accusers |= 1 << ring
		}
	}
	if node.config.Disabled.Quorum {
		record.Accusers = 1<<ringCount - 1
	}
	if record.Accusers == 0 {
		return
	}
	record.Health = max(record.Health, Suspect)
	if record.differs(before) {
		node.update(record)
	}
}

// checkSuspects marks suspects as failed that have had enough accusations for
// suspectTimeout.
func (node *Node) checkSuspects() {
	for _, instance := range sorted(node.table.suspects) {
		member := node.table.members[instance]
		if node.accusations(member) < node.requiredAccusations(member) || !node.connected() {
			member.accusedSince = time.Time{}
			continue
		}
		if member.accusedSince.IsZero() {
			member.accusedSince = node.now
		}
		if node.now.Sub(member.accusedSince) >= suspectTimeout {
			record := member.record
			record.Health = Failed
			node.update(record)
		}
	}
}

// requiredAccusations returns on how many rings a member must be accused to fail.
// One is enough if most of its failure domain has failed.
func (node *Node) requiredAccusations(member *trackedMember) int {
	if !node.config.Disabled.LostDomains && node.table.domains[member.record.Member.Domain()].lost() {
		return 1
	}
	return quorum
}

// connected reports whether another instance has replied to this one recently.
// Without a reply this instance cannot tell its own fault from theirs, so it
// neither accuses members nor marks them as failed. In a small fleet, where no
// other member may be left, a recent read of the platform's list is enough.
func (node *Node) connected() bool {
	if node.config.Disabled.ConnectedCheck || node.now.Sub(node.lastReplyAt) < connectedWindow {
		return true
	}
	return node.table.liveCount() <= smallFleetSize && node.now.Sub(node.lastListAt) < connectedWindow
}

// accusations counts the rings whose monitor accuses a member or is itself
// suspect.
func (node *Node) accusations(member *trackedMember) int {
	count := 0
	for ring := range ringCount {
		if member.record.Accusers&(1<<ring) != 0 {
			count++
			continue
		}
		monitor := node.table.members[node.table.rings.monitor(ring, member.record.Member.Instance())]
		if monitor != nil && monitor != member && monitor.record.Health == Suspect {
			count++
		}
	}
	return count
}

// endRecoveries ends the recovery of members whose recoveryTime is over.
func (node *Node) endRecoveries() {
	for _, instance := range sorted(node.recovering) {
		if member := node.table.members[instance]; member == nil || !node.now.Before(member.recoveredAt) {
			delete(node.recovering, instance)
			node.changed = true
		}
	}
}

// dropTombstones removes members that have been gone for tombstoneTime.
func (node *Node) dropTombstones() {
	for _, instance := range sorted(node.table.gone) {
		if node.now.Sub(node.table.members[instance].goneAt) >= tombstoneTime {
			node.broadcasts.drop(instance)
			node.table.removeMember(instance)
		}
	}
}

// successors returns the members that this instance monitors.
func (node *Node) successors() []names.Instance {
	var found []names.Instance
	for ring := range ringCount {
		successor := node.table.rings.successor(ring, node.instance)
		if successor != node.instance && !slices.Contains(found, successor) {
			found = append(found, successor)
		}
	}
	return found
}
