package event

import "github.com/sirupsen/logrus"

// Events 9150 to 9159 are about the memory and the readiness of an instance, and about callers'
// connections.
var (
	// MemoryExhausted is logged at most once a second.
	MemoryExhausted = define(9150, logrus.WarnLevel, "memoryExhausted", "The process holds as much for callers and servers as its memory allows: no further bodies are read, and requests that have run nowhere are refused with status 503. The fields give the bytes by purpose. Add instances, or memory to each, if it recurs.")
	// SlowCallerEnded is logged for each request that is ended as its caller does not read or send.
	SlowCallerEnded = define(9151, logrus.InfoLevel, "slowCallerEnded", "A request was ended as its caller had read nothing of the response, or sent nothing of the body, for 30 s, or for 2 s while the memory for callers and servers was exhausted.")
	// InstancePaused is logged when the instance reports for some seconds that it is not ready.
	InstancePaused = define(9152, logrus.WarnLevel, "instancePaused", "An underpowered instance cannot keep up with its requests and reports for 3 s that it is not ready, so that the load balancer sends it no further ones. If it recurs, give the instance more processor time or add instances.")
	// RequestUnanswered is logged when a caller's connection is closed under a request.
	RequestUnanswered = define(9153, logrus.WarnLevel, "requestUnanswered", "This process closed a caller's connection after bytes of a request had arrived and without sending a response. The fields give the bytes that it had read and, up to 1 KiB, those that it had not; without bytes that were read, the request has not run.")
	// ConnectionsRefused: connections or heads were refused for lack of room or beyond a limit.
	ConnectionsRefused = define(9154, logrus.WarnLevel, "connectionsRefused", "In the last second, connections made way for others (evicted), were closed at once (refused), or sent heads that were answered with 400, 408, 431 or 503 without being read further (heads). None of their requests has run. The fields give the open connections, their limit by descriptors, and the bytes held for connections and heads. If connections are evicted beside usual traffic, give the instance more memory or descriptors, or add instances.")
)
