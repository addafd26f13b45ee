package member

import (
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
)

// handleProbe applies the records in a probe and replies with changes and
// corrections. If the tables differ in the probe's bucket, the reply also
// carries that bucket, at most once in bucketReplyPeriod.
func (node *Node) handleProbe(probe Probe) {
	node.applyRecord(probe.From)
	node.applyRecords(probe.Records)
	reply := Reply{From: node.Self(), Records: node.recordsFor(probe.From.Member.Instance())}
	reply.Records = append(reply.Records, node.corrections(probe.Records)...)
	bucket := probe.Bucket % bucketCount
	if probe.Digest != node.table.digests[bucket] && node.bucketLimiter.allow(node.now) {
		reply.Records = append(reply.Records, node.table.bucketRecords(bucket)...)
	}
	node.emit(SendReply{Reply: reply})
}

// corrections returns the records of this node that differ from records. It is
// called once records have been applied, so a remaining difference means that
// the sender lacks something.
func (node *Node) corrections(records []Record) []Record {
	var better []Record
	for _, record := range records {
		member := node.table.members[record.Member.Instance()]
		if member != nil && member.record.differs(record) && len(better) < maxMessageRecords {
			better = append(better, member.record)
		}
	}
	return better
}

// handleReply applies the records in a reply to a probe. The reply may be late
// or come through a relay.
func (node *Node) handleReply(sequence uint64, reply Reply) {
	delete(node.pendingProbes, sequence)
	node.lastReplyAt = node.now
	node.applyRecord(reply.From)
	for _, record := range reply.Records {
		node.applyRecord(record)
		// The sender's record is out of date, so this node's is broadcast again.
		instance := record.Member.Instance()
		if member := node.table.members[instance]; member != nil && member.record.differs(record) {
			node.broadcasts.add(instance)
		}
	}
}

// handleList applies a read of the platform's list. Failed members that are not
// on the list become gone.
func (node *Node) handleList(members []fleet.Member) {
	node.lastListAt = node.now
	listed := make(map[names.Instance]struct{}, len(members))
	for _, member := range members {
		listed[member.Instance()] = struct{}{}
		node.handleListed(member)
	}
	for _, instance := range sorted(node.table.failed) {
		if _, present := listed[instance]; !present {
			record := node.table.members[instance].record
			record.Health = Gone
			node.update(record)
		}
	}
}

// handleListed adds a listed member that is unknown, or applies its leaving mark
// to the record of a known one.
func (node *Node) handleListed(member fleet.Member) {
	leaving := member.State() == fleet.StateLeaving
	current, found := node.Record(member.Instance())
	member = member.WithState("", false)
	if !found {
		node.applyRecord(Record{Member: member, Leaving: leaving})
		return
	}
	if leaving && !current.Leaving {
		current.Leaving = true
		node.applyRecord(current)
	}
}
