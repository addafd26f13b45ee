package event

import "github.com/sirupsen/logrus"

// Events 4000 to 4499 are about enforcing the rate and burst of client accounts.
// The tokens of each shard of accounts are lent by the holders of its seats.
var (
	// QuotaSeatTaken is logged when the instance becomes the holder of a seat.
	QuotaSeatTaken = define(4000, logrus.InfoLevel, "quotaSeatTaken", "From now on, this instance lends the tokens of a seat of a shard; each account's portion starts empty.")
	// QuotaSeatLost is logged when another instance is found to hold the seat.
	QuotaSeatLost = define(4001, logrus.WarnLevel, "quotaSeatLost", "Another instance holds the seat. This one had stopped lending before; if it was not replaced on purpose, look for a paused process or a network partition.")
	// QuotaSeatRiding is logged when the seat is kept only by the votes of other
	// seats' holders, without the platform's service.
	QuotaSeatRiding = define(4002, logrus.WarnLevel, "quotaSeatRiding", "The platform's service does not answer; the instance keeps the seat by the votes of the holders of the shard's other seats.")
	// QuotaSeatEnded is logged when the permission to lend has expired.
	QuotaSeatEnded = define(4003, logrus.ErrorLevel, "quotaSeatEnded", "Neither the platform's service nor the holder of another seat confirmed the seat; the instance lends nothing until one does.")
	// QuotaSeatReleased is logged when the instance has released a seat.
	QuotaSeatReleased = define(4004, logrus.InfoLevel, "quotaSeatReleased", "The instance released the seat; a successor can take it at once.")
	// QuotaStoreFailed is logged when a call to the platform's service failed.
	QuotaStoreFailed = define(4005, logrus.WarnLevel, "quotaStoreFailed", "A call to the platform's service failed; it is retried at the next renewal.")
	// QuotaSeatMoving is logged when the instance begins to give up a seat to
	// a preferred holder.
	QuotaSeatMoving = define(4007, logrus.InfoLevel, "quotaSeatMoving", "Another live instance is preferred for the seat; this one makes no new loans and releases the seat once its loans have ended.")
	// QuotaRecordUnreadable is logged when the stored record of a seat cannot be
	// decoded.
	QuotaRecordUnreadable = define(4006, logrus.ErrorLevel, "quotaRecordUnreadable", "The record of a seat in the platform's service cannot be decoded; delete it once the holder of the seat has certainly ended.")
)
