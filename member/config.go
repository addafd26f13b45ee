package member

import (
	"time"

	"github.com/basilkeel/basilkeel/fleet"
)

const (
	ringCount = 5
	// quorum is on how many rings a member has to be accused.
	quorum = ringCount/2 + 1
	// bucketCount is into how many parts a table is cut to compare it.
	bucketCount = 64
	// maxMessageRecords bounds the records that travel on one message.
	maxMessageRecords = 8
	// maxSuspectRecords bounds the suspects that travel with them.
	maxSuspectRecords = 4
	// maxPushRecords bounds the records of one push.
	maxPushRecords = 64
	// relayCount is how many others are asked to reach a silent member.
	relayCount = 3
	// reconnectEvery is one in how many probes goes to a failed member.
	reconnectEvery = 10
	// listReadsPerSecond is how often the fleet reads the platform's list.
	listReadsPerSecond = 4
	// smallFleetSize is up to how many live members the list shows that an instance
	// is in touch.
	smallFleetSize = 3
	// maxMembers bounds the table.
	maxMembers = 8192

	probePeriod  = 500 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	relayTimeout = time.Second
	// suspectCheckPeriod is the time between two looks at the suspects.
	suspectCheckPeriod = 500 * time.Millisecond
	suspectTimeout     = 4 * time.Second
	// recoveryTime is for how long a failed member has to answer before it counts
	// as live again.
	recoveryTime = 2 * time.Second
	// connectedWindow is for how long one answer shows that an instance is in touch.
	connectedWindow = 3 * time.Second
	// tombstoneTime is how long a gone member is remembered.
	tombstoneTime = 10 * time.Minute
	minListPeriod = time.Second
	maxListPeriod = 10 * time.Minute
	// pushPeriod is the time in which a node may begin another push, and
	// bucketPeriod that in which it may send another part of its table.
	pushPeriod        = 2 * time.Second
	pushBurst         = 16
	bucketReplyPeriod = 5 * time.Second
)

// TickPeriod is the time between two ticks.
const TickPeriod = 100 * time.Millisecond

// Config carries what a [Node] is built from.
type Config struct {
	// Self describes this instance.
	Self fleet.Member
	// Birth is when this process started, in milliseconds since 1970.
	Birth uint64
	// Seed fixes the choices that are made at random.
	Seed uint64
	// Disabled turns mechanisms off, to show what they are for.
	Disabled Disabled
}

// Disabled names mechanisms of a [Node] that are turned off.
type Disabled struct {
	Refutation    bool
	Relays        bool
	FinalLeaving  bool
	TransmitLimit bool
	Push          bool
	Quorum        bool
	// LostDomains is that one accusation is enough in a domain that is lost.
	LostDomains bool
	// ConnectedCheck is that an instance which nobody answers judges nobody.
	ConnectedCheck bool
}
