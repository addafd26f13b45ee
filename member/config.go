package member

import (
	"time"

	"github.com/basilkeel/basilkeel/fleet"
)

const (
	ringCount = 5
	// quorum is on how many rings a member must be accused to fail, unless most of
	// its failure domain has failed.
	quorum = ringCount/2 + 1
	// bucketCount is the number of parts into which a table is split so that two
	// instances can compare theirs part by part.
	bucketCount = 64
	// maxMessageRecords bounds the changed records in one message, and also the
	// corrections in a reply.
	maxMessageRecords = 8
	// maxSuspectRecords bounds the suspects that are added to a message.
	maxSuspectRecords = 4
	// maxPushRecords bounds the records of one push.
	maxPushRecords = 64
	// relayCount is how many other instances are asked to probe a member that did
	// not reply.
	relayCount = 3
	// reconnectEvery is the number of probe rounds from one probe of a failed member,
	// which may be reachable again, to the next.
	reconnectEvery = 10
	// listReadsPerSecond is the rate at which all instances together read the
	// platform's list.
	listReadsPerSecond = 4
	// smallFleetSize is the largest number of live members at which a recent read
	// of the list is enough for an instance to count as connected.
	smallFleetSize = 3
	// maxMembers is the largest number of members in a table. Records of further
	// members are ignored.
	maxMembers = 8192

	probePeriod  = 500 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	relayTimeout = time.Second
	// suspectCheckPeriod is the time between two checks of the suspects.
	suspectCheckPeriod = 500 * time.Millisecond
	// suspectTimeout is how long a member must stay accused by a quorum before it
	// counts as failed.
	suspectTimeout = 4 * time.Second
	// recoveryTime is how long a failed member that replies again still counts as
	// failed.
	recoveryTime = 2 * time.Second
	// connectedWindow is how long an instance counts as connected after a reply.
	connectedWindow = 3 * time.Second
	// tombstoneTime is how long a gone member stays in the table, so that outdated
	// records do not add it again.
	tombstoneTime = 10 * time.Minute
	// minListPeriod and maxListPeriod bound the mean time between two reads of the
	// list by one instance.
	minListPeriod = time.Second
	maxListPeriod = 10 * time.Minute
	// pushPeriod is the mean time between two pushes of a node beyond a burst of
	// pushBurst, and bucketReplyPeriod the time between two replies that carry a
	// whole bucket of its table.
	pushPeriod        = 2 * time.Second
	pushBurst         = 16
	bucketReplyPeriod = 5 * time.Second
)

// TickPeriod is the time between two [Tick] inputs.
const TickPeriod = 100 * time.Millisecond

// Config holds the parameters of a [Node].
type Config struct {
	// Self describes this instance.
	Self fleet.Member
	// Birth is when this process started, in milliseconds since the Unix epoch.
	Birth uint64
	// Seed seeds the random choices of the node.
	Seed uint64
	// Disabled turns mechanisms off so that tests can show what each prevents.
	Disabled Disabled
}

// Disabled lists the mechanisms of a [Node] that are turned off.
type Disabled struct {
	Refutation    bool
	Relays        bool
	FinalLeaving  bool
	TransmitLimit bool
	Push          bool
	Quorum        bool
	// LostDomains is the rule that one accusation is enough in a failure domain
	// most of whose members have failed.
	LostDomains bool
	// ConnectedCheck is the rule that an instance without recent replies neither
	// accuses a member nor marks it as failed.
	ConnectedCheck bool
}
