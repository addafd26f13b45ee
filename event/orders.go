package event

import "github.com/sirupsen/logrus"

// Events 8000 to 8199 are about the memory ledger of a model engine and the
// load and unload orders sent to it.
var (
	// EngineTaken is logged when an agent acquires its engine.
	EngineTaken = define(8000, logrus.InfoLevel, "engineTaken", "The agent acquired its engine under a new epoch.")
	// EngineLost is logged when another agent has acquired the engine.
	EngineLost = define(8001, logrus.ErrorLevel, "engineLost",
		"Another agent acquired the engine; this one sends no further orders and exits. Make sure that only one agent runs beside each engine.")
	// OrderUnanswered is logged when it is unknown whether an order was
	// carried out.
	OrderUnanswered = define(8002, logrus.WarnLevel, "orderUnanswered",
		"An order got no answer; the ledger allows for both outcomes until a report of the engine settles it.")
	// OrderFenced is logged when the engine refuses an order because of its
	// epoch.
	OrderFenced = define(8003, logrus.WarnLevel, "orderFenced", "The engine refused an order because it has seen a higher epoch.")
	// RecordFailed is logged when the agent's record cannot be read or written.
	RecordFailed = define(8004, logrus.WarnLevel, "recordFailed",
		"The agent's record in the platform's service could not be read or written; only orders that the stored record covers are sent.")
	// ReportFailed is logged when a report of the engine could not be read.
	ReportFailed = define(8005, logrus.WarnLevel, "reportFailed", "The engine returned no report; no memory is freed until it returns one.")
	// EngineReleased is logged when a stopping agent releases its engine.
	EngineReleased = define(8006, logrus.InfoLevel, "engineReleased", "The agent released its engine; its successor can acquire it at once.")
)
