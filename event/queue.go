package event

import "github.com/sirupsen/logrus"

// Events 6500 to 6999 are about an agent's queue and an entry's routing.
var (
	// QueueOverloaded is logged when an agent begins to refuse requests
	// because of load.
	QueueOverloaded = define(6500, logrus.WarnLevel, "queueOverloaded", "The queue refuses requests whose objective cannot be met; see the fields cause, queued and running. Add replicas of the models concerned or lower the rates of the client accounts.")
	// QueueRecovered is logged when an agent no longer refuses requests
	// because of load.
	QueueRecovered = define(6501, logrus.InfoLevel, "queueRecovered", "The queue has refused no request because of load for some seconds.")
	// QueueFull is logged when the bound on queued requests or bytes is reached.
	QueueFull = define(6502, logrus.WarnLevel, "queueFull", "The queue has reached its bound on requests or bytes; requests of the client account with the most of them relative to its weight are refused.")
	// QueueHandedBack is logged when a leaving agent refuses its queued
	// requests.
	QueueHandedBack = define(6503, logrus.InfoLevel, "queueHandedBack", "The queued requests were refused as not run, so that entries retry them elsewhere.")
	// ServerSetAside is logged when an entry stops routing to a slow or failing
	// server.
	ServerSetAside = define(6600, logrus.WarnLevel, "serverSetAside", "The entry stopped routing to a slow or failing server; it probes the server after the time given.")
	// ServerRestored is logged when an entry routes to a server again.
	ServerRestored = define(6601, logrus.InfoLevel, "serverRestored", "The entry routes to the server again after a successful probe.")
	// RetriesExhausted is logged when the retry budget is spent.
	RetriesExhausted = define(6602, logrus.WarnLevel, "retriesExhausted", "The entry's retry budget is spent; failed requests are not retried.")
	// NoReplica is logged when no server is available for a target.
	NoReplica = define(6603, logrus.ErrorLevel, "noReplica", "No server in the plan accepts requests for the target; check the plan and the servers that are leaving.")
)
