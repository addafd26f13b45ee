package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
)

// messageOverhead is the bytes of a message besides its body: TCP/IP headers, TLS
// record, HTTP/2 frames and compressed headers.
const messageOverhead = 130

// task is a function that is due at a virtual time.
type task struct {
	at    time.Time
	order int
	run   func()
}

type tasks []task

func (tasks tasks) Len() int { return len(tasks) }
func (tasks tasks) Less(i, j int) bool {
	if tasks[i].at.Equal(tasks[j].at) {
		return tasks[i].order < tasks[j].order
	}
	return tasks[i].at.Before(tasks[j].at)
}
func (tasks tasks) Swap(i, j int) { tasks[i], tasks[j] = tasks[j], tasks[i] }
func (tasks *tasks) Push(x any)   { *tasks = append(*tasks, x.(task)) }
func (tasks *tasks) Pop() any {
	last := len(*tasks) - 1
	popped := (*tasks)[last]
	*tasks = (*tasks)[:last]
	return popped
}

// host is a node with its faults and counters.
type host struct {
	node   *Node
	member fleet.Member
	dead   bool
	// frozenUntil is when a frozen host continues.
	frozenUntil time.Time
	bytes       int
	messages    int
	reads       int
}

// network simulates nodes and the messages between them in virtual time.
type network struct {
	now      time.Time
	order    int
	tasks    tasks
	random   *rand.Rand
	hosts    []*host
	byAddr   map[string]*host
	list     []fleet.Member
	listDown bool
	loss     float64
	// cut reports whether messages from one host to another are lost.
	cut      func(from, to *host) bool
	latency  func(from, to *host) time.Duration
	onAction func(*host, Action)
	disabled Disabled
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 1)),
		byAddr:   make(map[string]*host),
		cut:      func(_, _ *host) bool { return false },
		latency:  func(_, _ *host) time.Duration { return 5 * time.Millisecond },
		onAction: func(*host, Action) {},
	}
}

// newTestMember returns the member with number; three of five failure domains are in
// the first region.
func newTestMember(number int) fleet.Member {
	role, config := fleet.RoleEntry, fleet.MemberConfig{}
	if number%11 >= 4 {
		role = fleet.RoleAgent
		config.Server = names.BackendServer(fmt.Sprintf("runner-%04d", number))
	}
	domain := number % 5
	region := "north"
	if domain >= 3 {
		region = "south"
	}
	config.Instance, config.Role = names.Instance(fmt.Sprintf("instance-%04d", number)), role
	config.Address = fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250)
	config.Domain, config.Region = names.FailureDomain(fmt.Sprintf("%s-%d", region, domain)), names.Region(region)
	return fleet.NewMember(config)
}

// add starts a host and, if listed, puts it on the list.
func (network *network) add(member fleet.Member, listed bool) *host {
	started := &host{member: member}
	started.node = NewNode(Config{
		Self: member, Birth: uint64(network.now.UnixMilli()), Seed: network.random.Uint64(), Disabled: network.disabled,
	})
	network.hosts = append(network.hosts, started)
	network.byAddr[member.Address()] = started
	if listed {
		network.list = append(network.list, member.WithState(fleet.StateLive, false))
	}
	network.after(time.Duration(network.random.Int64N(int64(TickPeriod))), func() { network.tick(started) })
	return started
}

func (network *network) after(wait time.Duration, run func()) {
	network.order++
	heap.Push(&network.tasks, task{at: network.now.Add(wait), order: network.order, run: run})
}

// run advances virtual time by span and runs the tasks that fall due.
func (network *network) run(span time.Duration) {
	until := network.now.Add(span)
	for len(network.tasks) > 0 && !network.tasks[0].at.After(until) {
		next := heap.Pop(&network.tasks).(task)
		network.now = next.at
		next.run()
	}
	network.now = until
}

func (network *network) tick(host *host) {
	if host.dead {
		return
	}
	network.step(host, Tick{}, nil)
	network.after(TickPeriod, func() { network.tick(host) })
}

// step passes an input to a host; if the host is frozen, once it runs again.
func (network *network) step(host *host, input Input, reply func(Reply)) {
	if host.dead {
		return
	}
	if host.frozenUntil.After(network.now) {
		network.after(host.frozenUntil.Sub(network.now), func() { network.step(host, input, reply) })
		return
	}
	for _, action := range host.node.Step(network.now, input) {
		network.perform(host, action, reply)
		network.onAction(host, action)
	}
}

func (network *network) perform(from *host, action Action, reply func(Reply)) {
	switch action := action.(type) {
	case SendProbe:
		network.probe(from, action.Address, action.Probe, func(answer Reply) {
			network.step(from, ReplyReceived{Sequence: action.Sequence, Reply: answer}, nil)
		})
	case SendRelay:
		via := network.byAddr[action.Via]
		network.send(from, via, proto.Size(encodeProbe(action.Probe)), func() {
			network.probe(via, action.Address, action.Probe, func(answer Reply) {
				network.send(via, from, proto.Size(encodeReply(answer)), func() {
					network.step(from, RelayReplyReceived{Sequence: action.Sequence, Reply: answer}, nil)
				})
			})
		})
	case SendPush:
		size := 0
		for _, record := range action.Records {
			size += proto.Size(encodeRecord(record)) + 2
		}
		to := network.byAddr[action.Address]
		network.send(from, to, size, func() { network.step(to, PushReceived{Records: action.Records}, nil) })
	case SendReply:
		reply(action.Reply)
	case ReadList:
		from.reads++
		if !network.listDown {
			network.step(from, ListReceived{Members: network.list}, nil)
		}
	case ViewChanged, SelfLeaving, HealthChanged:
	}
}

func (network *network) probe(from *host, address string, probe Probe, answer func(Reply)) {
	to := network.byAddr[address]
	network.send(from, to, proto.Size(encodeProbe(probe)), func() {
		network.step(to, ProbeReceived{Probe: probe}, func(reply Reply) {
			network.send(to, from, proto.Size(encodeReply(reply)), func() { answer(reply) })
		})
	})
}

func (network *network) send(from, to *host, size int, arrive func()) {
	from.bytes += size + messageOverhead
	from.messages++
	if to == nil || from.dead || network.cut(from, to) || network.random.Float64() < network.loss {
		return
	}
	network.after(network.latency(from, to), func() {
		if !to.dead {
			arrive()
		}
	})
}

// startFleet starts count hosts that are all on the list.
func (network *network) startFleet(count int) {
	for number := range count {
		network.list = append(network.list, newTestMember(number).WithState(fleet.StateLive, false))
	}
	for number := range count {
		network.add(newTestMember(number), false)
	}
}

// markLeaving marks a host as leaving on the list.
func (network *network) markLeaving(host *host) {
	marked := make([]fleet.Member, len(network.list))
	for index, member := range network.list {
		if member.Instance() == host.member.Instance() {
			member = member.WithState(fleet.StateLeaving, false)
		}
		marked[index] = member
	}
	network.list = marked
}

// removeFromList takes a host off the list.
func (network *network) removeFromList(host *host) {
	var kept []fleet.Member
	for _, member := range network.list {
		if member.Instance() != host.member.Instance() {
			kept = append(kept, member)
		}
	}
	network.list = kept
}

// state returns the state in which viewer sees subject, or "" if it does not see
// subject.
func (network *network) state(viewer, subject *host) fleet.State {
	member := viewer.node.table.members[subject.member.Instance()]
	if member == nil || member.record.Health == Gone {
		return ""
	}
	return viewer.node.state(member)
}

// countViewers returns the number of other running hosts that see subject in state.
func (network *network) countViewers(subject *host, state fleet.State) int {
	count := 0
	for _, viewer := range network.hosts {
		if viewer != subject && !viewer.dead && network.state(viewer, subject) == state {
			count++
		}
	}
	return count
}
