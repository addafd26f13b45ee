package event

import "github.com/sirupsen/logrus"

// Events 3400 to 3499 are about the administration API.
var (
	// OperatorRefused is logged when a request has no valid operator token or
	// the operator's role does not permit it.
	OperatorRefused = define(3400, logrus.WarnLevel, "operatorRefused", "A request to the administration API had no valid token, or the operator's role does not permit it.")
	// ChangeAccepted is logged when a change of the configuration is stored and
	// announced to relays.
	ChangeAccepted = define(3401, logrus.InfoLevel, "changeAccepted", "A change of the configuration was accepted.")
	// ChangeNotAnnounced is logged when a change is stored but could not be
	// announced to the relays of any failure domain.
	ChangeNotAnnounced = define(3402, logrus.ErrorLevel, "changeNotAnnounced", "A change is stored but could not be announced to the relays of any failure domain. Send it again with the same changeId, to another entry if necessary.")
)
