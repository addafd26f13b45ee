package event

import "github.com/sirupsen/logrus"

// Events 9140 to 9149 are about the coordinator's orders to model engines.
var (
	// OrderWithheld is logged when an order is not sent because the engine might have no
	// room for it.
	OrderWithheld = define(9140, logrus.WarnLevel, "orderWithheld", "An order was not sent to a model engine: with it, the engine would have no room for models or adapters if an order to its former incarnation arrived late. Such orders expire within 14 s.")
	// IncarnationOutdated is logged when the registry lists an earlier incarnation of an
	// engine than before.
	IncarnationOutdated = define(9141, logrus.InfoLevel, "incarnationOutdated", "The registry lists an earlier incarnation of a model engine than it did before; the entry is ignored unless it stays for 5 s.")
	// StepCanceled is logged when a planned copy is given up before its first order.
	StepCanceled = define(9142, logrus.InfoLevel, "stepCanceled", "A planned copy of a model was given up before the copy that it would have evicted was unloaded, as the demand for it has gone.")
)
