package member

import (
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
)

// probed answers a probe.
func (node *Node) probed(probe Probe) {
	node.hear(probe.From)
	node.hearAll(probe.Records)
	reply := Reply{From: node.Self(), Records: node.news(probe.From.Member.Instance())}
	reply.Records = append(reply.Records, node.corrections(probe.Records)...)
	bucket := probe.Bucket % bucketCount
	if probe.Digest != node.table.digests[bucket] && node.answers.take(node.now) {
		reply.Records = append(reply.Records, node.table.bucket(bucket)...)
	}
	node.act(SendReply{Reply: reply})
}

// corrections returns what this instance knows better than records do.
func (node *Node) corrections(records []Record) []Record {
	var better []Record
	for _, record := range records {
		member := node.table.members[record.Member.Instance()]
		if member != nil && member.record.differs(record) && len(better) < messageRecords {
			better = append(better, member.record)
		}
	}
	return better
}

// answered takes in the answer to a probe, also a late one.
func (node *Node) answered(sequence uint64, reply Reply) {
	delete(node.probes, sequence)
	node.answeredAt = node.now
	node.hear(reply.From)
	for _, record := range reply.Records {
		node.hear(record)
		// What the other side lacks is told again.
		instance := record.Member.Instance()
		if member := node.table.members[instance]; member != nil && member.record.differs(record) {
			node.rumours.add(instance)
		}
	}
}

// listed takes in a reading of the platform's list.
func (node *Node) listed(members []fleet.Member) {
	node.listedAt = node.now
	listed := make(map[names.Instance]struct{}, len(members))
	for _, member := range members {
		listed[member.Instance()] = struct{}{}
		node.listedOne(member)
	}
	for _, instance := range sorted(node.table.failed) {
		if _, on := listed[instance]; !on {
			record := node.table.members[instance].record
			record.Health = Gone
			node.update(record)
		}
	}
}

func (node *Node) listedOne(member fleet.Member) {
	leaving := member.State() == fleet.StateLeaving
	current, found := node.Record(member.Instance())
	member = member.WithState("", false)
	if !found {
		node.hear(Record{Member: member, Leaving: leaving})
		return
	}
	if leaving && !current.Leaving {
		current.Leaving = true
		node.hear(current)
	}
}
