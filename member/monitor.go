package member

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// tick does what time asks for.
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

// listPeriod spreads the readings of the list over the fleet.
func (node *Node) listPeriod() time.Duration {
	period := time.Duration(node.table.liveCount()) * time.Second / listReadsPerSecond
	period = min(max(period, minListPeriod), maxListPeriod)
	return period/2 + time.Duration(node.random.Int64N(int64(period)))
}

// probeNext probes a successor, in turn over the rings, and now and then a
// member that has failed.
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

// probeRandom probes a member at random, for an instance whose neighbours are
// all silent may yet reach others.
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

// pickBucket picks the part of the table to compare: in turn one that holds a
// live member, of which there are few in a small fleet, and any.
func (node *Node) pickBucket() uint8 {
	if node.sequence%2 == 0 {
		return uint8(node.random.IntN(bucketCount))
	}
	ring := node.table.rings[0]
	return bucketOf(ring[node.random.IntN(len(ring))].instance)
}

// recordsFor returns the records to tell another instance: changes, whom this
// instance is about to count as failed, in case the other knows better, and what
// is held against the other itself. Changes are not told to one that may not
// hear them, for each is told a bounded number of times.
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

// pendingFailures returns suspects that are accused on most rings, but for those
// in told.
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

// handleTimeouts tries other ways to members that did not answer, and accuses
// those that cannot be reached at all.
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

// relay probes again, also by way of instances in other failure domains.
func (node *Node) relay(sequence uint64, member *trackedMember) {
	node.sendProbe(sequence, member.record.Member.Instance())
	for _, via := range node.pickRelays(member) {
		node.emit(SendRelay{
			Via: via, Address: member.record.Member.Address(), Sequence: sequence,
			Probe: Probe{From: node.Self(), Records: []Record{member.record}, Digest: node.table.digests[0]},
		})
	}
}

// pickRelays picks the addresses of live members, in failure domains other than
// this instance's and the target's as far as there are any.
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

// accuse marks a member on the rings on which this instance monitors it.
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

// checkSuspects counts as failed whoever stayed accused on most rings.
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

// requiredAccusations is on how many rings a member has to be accused. Where most of its
// failure domain has failed, one is enough.
func (node *Node) requiredAccusations(member *trackedMember) int {
	if !node.config.Disabled.LostDomains && node.table.domains[member.record.Member.Domain()].lost() {
		return 1
	}
	return quorum
}

// connected tells whether this instance is in touch with any other. One that
// is not cannot tell its own fault from theirs and judges nobody. In a fleet of
// a few, where nobody else may be left, the platform's list has to answer.
func (node *Node) connected() bool {
	if node.config.Disabled.ConnectedCheck || node.now.Sub(node.lastReplyAt) < connectedWindow {
		return true
	}
	return node.table.liveCount() <= smallFleetSize && node.now.Sub(node.lastListAt) < connectedWindow
}

// accusations counts the rings that speak against a member: those whose monitor
// accuses it, and those whose monitor is accused itself.
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

func (node *Node) endRecoveries() {
	for _, instance := range sorted(node.recovering) {
		if member := node.table.members[instance]; member == nil || !node.now.Before(member.recoveredAt) {
			delete(node.recovering, instance)
			node.changed = true
		}
	}
}

func (node *Node) dropTombstones() {
	for _, instance := range sorted(node.table.gone) {
		if node.now.Sub(node.table.members[instance].goneAt) >= tombstoneTime {
			node.broadcasts.drop(instance)
			node.table.remove(instance)
		}
	}
}

// successors are the members that this instance monitors.
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
