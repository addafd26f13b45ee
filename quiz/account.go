package quiz

// Account describes a client account, its expected load and its keys.
type Account struct {
	Name        string
	Weight      int64
	Interactive Traffic
	Verdict     Traffic
	Batch       Traffic
	// CallsPerSecond is the expected rate of calls to plain services.
	CallsPerSecond float64
	// LargestTokens is the number of prompt and output tokens of the account's
	// largest request.
	LargestTokens int64
	BurstRequests int64
	// BurstTokens is the burst allowance. If it is zero, the allowance is derived
	// from BurstRequests and LargestTokens.
	BurstTokens int64
	Keys        []string
}

func (account *Account) traffics() []Traffic {
	return []Traffic{account.Interactive, account.Verdict, account.Batch}
}
