package event

import "github.com/sirupsen/logrus"

// Events 9160 to 9169 are about suspicions of requests whose servers are not known to have
// ended.
var (
	// SuspicionCounted is logged when a suspicion counts although it was not confirmed.
	SuspicionCounted = define(9160, logrus.InfoLevel, "suspicionCounted", "A backend server broke off a request, and the entry that saw it neither confirmed nor withdrew that the server has ended, as if that entry had ended itself. The suspicion counts as if it were confirmed.")
	// SuspicionRefuted is logged when an entry withdraws another one's suspicion.
	SuspicionRefuted = define(9161, logrus.InfoLevel, "suspicionRefuted", "A backend server that broke off a request at another entry has sent bytes to this one afterwards. Unless the other entry confirms that the server has ended, the suspicion does not count.")
)
