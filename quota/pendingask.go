package quota

// PendingAsk is an ask that a [Balance] has started and that has no result yet.
type PendingAsk struct {
	Seat     int
	Ask      Ask
	sequence int64
}
