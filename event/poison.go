package event

import "github.com/sirupsen/logrus"

// Events 8200 to 8299 are about requests that crash backend servers.
var (
	// ServerCrashed is logged when a backend server ended with requests in
	// flight.
	ServerCrashed = define(8200, logrus.ErrorLevel, "serverCrashed",
		"A backend server ended with requests in flight; each is a suspect until it completes alone.")
	// RequestQuarantined is logged when the fingerprint of a request is
	// quarantined.
	RequestQuarantined = define(8201, logrus.ErrorLevel, "requestQuarantined",
		"A request crashed two backend servers and is refused; ask the client account about it, and lift the quarantine once the fault is fixed.")
	// QuarantineLifted is logged when an operator lifts a quarantine.
	QuarantineLifted = define(8202, logrus.InfoLevel, "quarantineLifted", "An operator lifted a quarantine.")
)
