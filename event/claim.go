package event

import "github.com/sirupsen/logrus"

// Events 5000 to 5499 are about claims, which make calls with an idempotency
// key run at most once.
var (
	// ClaimUnrecorded is logged when the outcome of a call could not be
	// stored.
	ClaimUnrecorded = define(5000, logrus.WarnLevel, "claimUnrecorded",
		"The outcome of a call could not be stored; repeats with its idempotency key are answered with outcome unknown.")
	// ClaimStoreFailed is logged when the claims of a shard cannot be read or
	// written.
	ClaimStoreFailed = define(5001, logrus.WarnLevel, "claimStoreFailed",
		"Claims could not be read or written; calls with an idempotency key are refused as not run until the platform's service answers.")
	// ClaimLayoutDiffers is logged when the configured number of shards differs
	// from the stored one.
	ClaimLayoutDiffers = define(5002, logrus.ErrorLevel, "claimLayoutDiffers",
		"The configured number of claim shards differs from the stored one; correct the setting and restart the instance.")
	// ClaimUnreadable is logged when a stored claim cannot be decoded.
	ClaimUnreadable = define(5003, logrus.ErrorLevel, "claimUnreadable",
		"A stored claim is damaged; calls of its shard are refused as not run until it is repaired.")
)
