package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
)

// Node decides for one instance which members are live, leaving, failed or gone.
// It does no I/O and is not safe for concurrent use.
type Node struct {
	config        Config
	instance      names.Instance
	random        *rand.Rand
	table         *table
	broadcasts    broadcastQueue
	pendingProbes map[uint64]*pendingProbe
	// sequence is the number of the last probe, by which replies are matched.
	sequence    uint64
	probeRound  int
	nextProbeAt time.Time
	nextCheckAt time.Time
	nextListAt  time.Time
	// lastReplyAt and lastListAt are when a peer last replied and when the list was
	// last read.
	lastReplyAt   time.Time
	lastListAt    time.Time
	recovering    map[names.Instance]struct{}
	pushLimiter   limiter
	bucketLimiter limiter

	// The fields below hold the time and the results of the current step. Records
	// of the instances in urgent are pushed at its end.
	now     time.Time
	actions []Action
	urgent  []names.Instance
	changed bool
}

// NewNode returns a node whose table holds only its own record.
func NewNode(config Config) *Node {
	node := &Node{
		config: config, instance: config.Self.Instance(),
		random: rand.New(rand.NewPCG(config.Seed, config.Birth)), table: newTable(),
		broadcasts:    newBroadcastQueue(config.Disabled.TransmitLimit),
		pendingProbes: make(map[uint64]*pendingProbe), recovering: make(map[names.Instance]struct{}),
		pushLimiter:   limiter{period: pushPeriod, burst: pushBurst},
		bucketLimiter: limiter{period: bucketReplyPeriod, burst: 1},
	}
	node.table.put(Record{Member: config.Self.WithState("", false), Birth: config.Birth, Incarnation: 1})
	node.broadcasts.add(node.instance)
	return node
}

// Step handles one input at now and returns the resulting actions.
func (node *Node) Step(now time.Time, input Input) []Action {
	node.now, node.actions, node.urgent, node.changed = now, nil, nil, false
	switch input := input.(type) {
	case Tick:
		node.tick()
	case ListReceived:
		node.handleList(input.Members)
	case ProbeReceived:
		node.handleProbe(input.Probe)
	case ReplyReceived:
		node.handleReply(input.Sequence, input.Reply)
	case RelayReplyReceived:
		node.handleReply(input.Sequence, input.Reply)
	case PushReceived:
		node.applyRecords(input.Records)
	case Leave:
		node.leave()
	}
	node.pushUrgent()
	if node.changed {
		node.emit(ViewChanged{})
	}
	return node.actions
}

// Self returns this instance's own record.
func (node *Node) Self() Record { return node.table.members[node.instance].record }

// Record returns the record of an instance and whether there is one.
func (node *Node) Record(instance names.Instance) (Record, bool) {
	member := node.table.members[instance]
	if member == nil {
		return Record{}, false
	}
	return member.record, true
}

// Neighbours returns the instances that this one monitors or is monitored by.
func (node *Node) Neighbours() []names.Instance {
	found := make([]names.Instance, 0, 2*ringCount)
	for ring := range ringCount {
		found = append(found, node.table.rings.successor(ring, node.instance), node.table.rings.monitor(ring, node.instance))
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// Members returns the members that are not gone, sorted by instance.
func (node *Node) Members() []fleet.Member {
	members := make([]fleet.Member, 0, len(node.table.members))
	for _, member := range node.table.members {
		if member.record.Health < Gone {
			members = append(members, member.record.Member.WithState(node.state(member), member.record.Health == Suspect))
		}
	}
	slices.SortFunc(members, func(left, right fleet.Member) int {
		if left.Instance() < right.Instance() {
			return -1
		}
		return 1
	})
	return members
}

func (node *Node) state(member *trackedMember) fleet.State {
	_, recovering := node.recovering[member.record.Member.Instance()]
	switch {
	case !member.live() || recovering:
		return fleet.StateFailed
	case member.record.Leaving:
		return fleet.StateLeaving
	default:
		return fleet.StateLive
	}
}

func (node *Node) emit(action Action) { node.actions = append(node.actions, action) }
