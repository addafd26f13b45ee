package member

import (
	"math/bits"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

func (node *Node) applyRecords(records []Record) {
	for _, record := range records {
		node.applyRecord(record)
	}
}

// applyRecord merges a record from a peer or from the list into the table.
func (node *Node) applyRecord(record Record) {
	instance := record.Member.Instance()
	if instance == "" {
		return
	}
	if instance == node.instance {
		node.applyOwnRecord(record)
		return
	}
	member := node.table.members[instance]
	if member == nil {
		if record.Health == Gone || len(node.table.members) >= maxMembers {
			return
		}
		node.update(record)
		return
	}
	merged := member.record.merge(record)
	if node.config.Disabled.FinalLeaving && !member.record.newer(record) {
		merged.Leaving = record.Leaving
	}
	if merged.differs(member.record) {
		node.update(merged)
	}
}

// applyOwnRecord handles a record about this instance: it adopts a leaving mark
// and refutes an accusation by starting a new incarnation. Records of another
// process of this instance are ignored.
func (node *Node) applyOwnRecord(record Record) {
	own := node.Self()
	if record.Birth != own.Birth && record.Birth != 0 {
		return
	}
	if record.Leaving && !own.Leaving {
		node.leave()
		own = node.Self()
	}
	if record.Health == Alive || record.Birth == own.Birth && record.Incarnation < own.Incarnation {
		return
	}
	if node.config.Disabled.Refutation {
		return
	}
	own.Incarnation = max(own.Incarnation, record.Incarnation) + 1
	node.update(own)
	if bits.OnesCount8(record.Accusers) >= quorum || record.Health >= Failed {
		node.urgent = append(node.urgent, node.instance)
	}
}

// leave marks this instance as leaving.
func (node *Node) leave() {
	own := node.Self()
	if own.Leaving {
		return
	}
	own.Leaving = true
	node.update(own)
	node.emit(SelfLeaving{})
}

// update stores a changed record and queues it for broadcast.
func (node *Node) update(record Record) {
	instance := record.Member.Instance()
	former := node.table.members[instance]
	var before Record
	if former != nil {
		before = former.record
	}
	member := node.table.put(record)
	if record.Health != Suspect {
		member.accusedSince = time.Time{}
	}
	if record.Birth != 0 || record.Leaving || record.Health > Alive {
		// Other members are known from the list only, which peers read themselves.
		node.broadcasts.add(instance)
	}
	node.trackChange(instance, before, former == nil, member)
	if record.Leaving && !before.Leaving || urgentRefutation(before, record) {
		node.urgent = append(node.urgent, instance)
	}
}

// urgentRefutation reports whether a member is alive again after it was accused
// by a quorum or counted as failed.
func urgentRefutation(before, after Record) bool {
	return after.Health == Alive && (before.Health >= Failed || bits.OnesCount8(before.Accusers) >= quorum)
}

// trackChange notes whether a changed record alters the view, reports a change
// of health, and starts the recovery of a failed member that is alive again.
func (node *Node) trackChange(instance names.Instance, before Record, added bool, member *trackedMember) {
	record := member.record
	if added || before.Leaving != record.Leaving || before.Health != record.Health || before.Member != record.Member {
		node.changed = true
	}
	if added || before.Health == record.Health {
		return
	}
	node.emit(HealthChanged{Record: record})
	if record.Health == Gone {
		member.goneAt = node.now
		delete(node.recovering, instance)
	}
	if before.Health >= Failed && record.Health < Failed {
		member.recoveredAt = node.now.Add(recoveryTime)
		node.recovering[instance] = struct{}{}
	}
}

// pushUrgent sends the urgent records to the successors on the rings, as far as
// the limiter allows. They are in the broadcast queue as well.
func (node *Node) pushUrgent() {
	if len(node.urgent) == 0 || node.config.Disabled.Push || !node.pushLimiter.allow(node.now) {
		return
	}
	records := node.records(node.urgent[:min(len(node.urgent), maxPushRecords)])
	for _, target := range node.successors() {
		node.emit(SendPush{Address: node.table.members[target].record.Member.Address(), Records: records})
	}
}

// records returns the records of those instances that are in the table.
func (node *Node) records(instances []names.Instance) []Record {
	records := make([]Record, 0, len(instances))
	for _, instance := range instances {
		if member := node.table.members[instance]; member != nil {
			records = append(records, member.record)
		}
	}
	return records
}
