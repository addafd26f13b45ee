package event

import "github.com/sirupsen/logrus"

// Events 6000 to 6499 are about which instances are live, leaving or failed.
var (
	// MemberFailed is logged when a member is declared failed.
	MemberFailed = define(6000, logrus.WarnLevel, "memberFailed", "Most of the instance's monitors cannot reach it. It gets no new work and no duties until it answers again. Many at a time in one failure domain or region indicate a network partition.")
	// MemberReturned is logged when a failed member answers again.
	MemberReturned = define(6001, logrus.InfoLevel, "memberReturned", "An instance that was declared failed answers again. It gets work once it has answered for a while.")
	// MemberGone is logged when a failed member is no longer on the platform's
	// instance list.
	MemberGone = define(6002, logrus.InfoLevel, "memberGone", "A failed instance is no longer on the platform's instance list and is dropped.")
	// MemberLeaving is logged when this instance stops accepting new work.
	MemberLeaving = define(6003, logrus.InfoLevel, "memberLeaving", "This instance is leaving, because it is stopping or by the platform's instance list, and accepts no new work.")
	// MemberLeaveUnheard is logged when too few peers acknowledged that the
	// instance leaves.
	MemberLeaveUnheard = define(6004, logrus.WarnLevel, "memberLeaveUnheard", "The instance stops although too few peers acknowledged that it leaves. The others learn of it from refusals and probes.")
)
