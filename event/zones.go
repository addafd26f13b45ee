package event

import "github.com/sirupsen/logrus"

// Events 9180 to 9189 are about evacuated failure domains and homes.
var (
	// ZoneEvacuated is logged when this process stops sending requests to the servers of
	// a failure domain at the operators' request.
	ZoneEvacuated = define(9180, logrus.WarnLevel, "zoneEvacuated", "At the operators' request this process sends nothing more to the servers of the zone until the key op/evacuate/ZONE is removed.")
	// ZoneReturned is logged when the servers of an evacuated failure domain get requests
	// again.
	ZoneReturned = define(9181, logrus.InfoLevel, "zoneReturned", "The evacuation of the zone has ended; its servers get requests again.")
	// EvacuationIgnored is logged when operators ask for the evacuation of an unknown
	// failure domain.
	EvacuationIgnored = define(9182, logrus.WarnLevel, "evacuationIgnored", "The name in a key op/evacuate/ZONE is not that of a zone of the settings or of a registered server; the key has no effect. Correct the name or remove the key.")
	// EvacuationRetained is logged when a restored service has lost the request for an
	// evacuation.
	EvacuationRetained = define(9183, logrus.WarnLevel, "evacuationRetained", "The platform's key-value service was restored from a copy without the key op/evacuate/ZONE. The zone stays evacuated in this process for the seconds given; write the key again if it is still meant to be, else delete it.")
	// RegionUnknown is logged when homes name a region that does not exist.
	RegionUnknown = define(9184, logrus.WarnLevel, "regionUnknown", "The allowed regions of a route or a client account name a region that the settings do not know; no server is in it. Correct the policy or the settings.")
	// HomesEmpty is logged when no region is left to the requests of a route and an account.
	HomesEmpty = define(9185, logrus.ErrorLevel, "homesEmpty", "The allowed regions of a route and a client account have no zone in common, or none that the settings map; the requests are refused. Correct the policy or the settings.")
)
