package quota

// PendingAsk is an exchange that a [Balance] has started.
type PendingAsk struct {
	Seat   int
	Ask    Ask
	sequence int64
}
