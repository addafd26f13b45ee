package event

import "github.com/sirupsen/logrus"

// Events 1000 to 1999 are about entries.
var (
	// EntryAttemptBroken is logged when an attempt ended with neither a result
	// nor a refusal.
	EntryAttemptBroken = define(1000, logrus.WarnLevel, "entryAttemptBroken", "An attempt at an agent broke off with neither a result nor a refusal. It is resumed at another agent where that is allowed.")
	// EntryNotRetried is logged when a failed request is not retried.
	EntryNotRetried = define(1002, logrus.DebugLevel, "entryNotRetried", "A failed request is not retried: it may have run and is not idempotent, another server would not help, or the retry budget is spent.")
	// EntryListFailed is logged when the platform's instance list cannot be
	// read.
	EntryListFailed = define(1001, logrus.WarnLevel, "entryListFailed", "The platform's instance list cannot be read; the last list read stays in use.")
)
