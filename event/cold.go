package event

import "github.com/sirupsen/logrus"

// Events 9170 to 9179 are about limits and rates over all entries.
var (
	// ColdStartInvalid is logged when the policy declares a cold time or rate that cannot
	// be one.
	ColdStartInvalid = define(9170, logrus.ErrorLevel, "coldStartInvalid", "The policy declares a cold time or a cold rate of a service that cannot be one; a long time or a low rate is assumed instead. Correct the policy.")
	// ColdLeftInvalid is logged when an entry of the registry states a cold time that cannot
	// be one.
	ColdLeftInvalid = define(9171, logrus.WarnLevel, "coldLeftInvalid", "The registry's entry of a backend server states a cold time that cannot be one; it is ignored. A server that has just appeared counts as cold.")
	// ServerCold is logged when a server becomes cold, or is assumed to be.
	ServerCold = define(9172, logrus.InfoLevel, "serverCold", "A backend server is cold, or is assumed to be as it has started or was not observed; it gets requests at the rate that its service declares for that.")
	// ServerWarm is logged when a server is no longer cold.
	ServerWarm = define(9173, logrus.InfoLevel, "serverWarm", "A backend server is no longer cold.")
)
