package event

import "github.com/sirupsen/logrus"

// Events 2000 to 2999 are about agents.
var (
	// AgentDraining is logged when an agent begins to refuse new work.
	AgentDraining = define(2000, logrus.InfoLevel, "agentDraining", "The agent refuses new work because its instance or backend server is leaving.")
	// AgentTicketRefused is logged for an attempt without a valid ticket.
	AgentTicketRefused = define(2001, logrus.WarnLevel, "agentTicketRefused", "An attempt had no valid ticket. Many in a row indicate clock skew, a signing key that is missing at this agent, or an intruder.")
)
