package event

import "github.com/sirupsen/logrus"

// Events 7000 to 7499 are about planning the placement of models.
var (
	// PlanningTaken is logged when an entry becomes the planner.
	PlanningTaken = define(7000, logrus.InfoLevel, "planningTaken", "From now on, this entry plans which engine holds which models.")
	// PlanningReleased is logged when an entry gives up planning.
	PlanningReleased = define(7001, logrus.InfoLevel, "planningReleased", "This entry gave up planning; another entry can take over at once.")
	// PlanningConflict is logged when a stored record or plan was changed by
	// another entry.
	PlanningConflict = define(7002, logrus.WarnLevel, "planningConflict", "Another entry wrote the record or the plan. The next step continues from the stored state; if this repeats, look for a paused process or a network partition.")
	// PlanningFailed is logged when a planning step failed.
	PlanningFailed = define(7003, logrus.WarnLevel, "planningFailed", "A record or plan could not be read or written. The plan stays in force; resident models continue to serve.")
	// PlanUnreadable is logged when the planner's answer cannot be decoded.
	PlanUnreadable = define(7004, logrus.ErrorLevel, "planUnreadable", "The planner's answer cannot be decoded. Finish the rollout of the newer release.")
)
