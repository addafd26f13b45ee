package event

import "github.com/sirupsen/logrus"

// Events 9190 to 9199 are about the scheduling of requests on model engines.
var (
	// RequestUnscheduled is logged when an entry chooses an engine by itself as the
	// coordinator did not answer.
	RequestUnscheduled = define(9190, logrus.DebugLevel, "requestUnscheduled", "The coordinator did not answer a call to schedule a request; the entry chose the engine by itself. The cause says why.")
)
