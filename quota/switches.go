package quota

// Switches disables single safety mechanisms, so that a test can show what each
// one prevents. The zero value enables all of them; only tests set others.
type Switches struct {
	// CreditBeforeDebit lends tokens without deducting them from the level.
	CreditBeforeDebit bool
	// FullStart makes the portions of a new lender start full.
	FullStart bool
	// EarlyReclaim restores outstanding tokens before their borrowers have stopped.
	EarlyReclaim bool
	// NoFence makes a lender continue after its seat lease has ended.
	NoFence bool
	// LeaseFromAnswer counts a loan's lease from the answer, not from the request.
	LeaseFromAnswer bool
	// BlindRefund applies refunds without regard to the portion's history.
	BlindRefund bool
	// NoPromise takes a seat over without promises of the other seats' holders,
	// and makes holders vote in spite of their promises.
	NoPromise bool
}
