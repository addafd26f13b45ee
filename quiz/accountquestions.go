package quiz

func accountQuestions() []question[Account] {
	questions := []question[Account]{
		{
			name: "name", ask: "Name of the client account?", required: true, read: readName(func(account *Account) *string { return &account.Name }),
			help: "Each tenant has one. Rate, burst and fair share are counted by it.",
		},
		{
			name: "weight", ask: "How large is it, relative to the others?", fallback: "1", read: readInteger(func(account *Account) *int64 { return &account.Weight }, 1),
			help: "Under contention an account of weight 2 gets twice the tokens of one of weight 1.",
		},
	}
	questions = append(questions, trafficQuestions("interactive", "that someone waits for", func(account *Account) *Traffic { return &account.Interactive })...)
	questions = append(questions, trafficQuestions("verdict", "for a verdict", func(account *Account) *Traffic { return &account.Verdict })...)
	questions = append(questions, trafficQuestions("batch", "that can wait", func(account *Account) *Traffic { return &account.Batch })...)
	return append(
		questions,
		question[Account]{
			name: "callsPerSecond", ask: "How many calls a second of plain services?", fallback: "0", read: readNumber(func(account *Account) *float64 { return &account.CallsPerSecond }, true),
			help: "Orders and lookups together, in a busy hour.",
		},
		question[Account]{
			name: "largestTokens", ask: "How many tokens has its largest request, prompt and output together?", fallback: "4096", read: readInteger(func(account *Account) *int64 { return &account.LargestTokens }, 1),
			help: "A request reserves its prompt and its largest output until it has ended.",
		},
		question[Account]{
			name: "burstRequests", ask: "How many requests may come at once?", fallback: "10", read: readInteger(func(account *Account) *int64 { return &account.BurstRequests }, 1),
			help: "The burst holds this many of the largest request, and ten at least.",
		},
		question[Account]{
			name: "burstTokens", ask: "How many tokens may be used at once? 0 derives it.", fallback: "0", read: readInteger(func(account *Account) *int64 { return &account.BurstTokens }, 0),
			help: "0 means the largest request times the requests at once, ten at least.",
		},
		question[Account]{
			name: "keys", ask: "Names of its keys?", fallback: "", read: readNames(func(account *Account) *[]string { return &account.Keys }),
			help: "Separated by commas. Each caller that is to be cut off on its own needs one. Their secrets are made when the change is applied.",
		},
	)
}

func trafficQuestions(prefix, title string, traffic func(*Account) *Traffic) []question[Account] {
	busy := func(account *Account) bool { return traffic(account).RequestsPerSecond > 0 }
	return []question[Account]{
		{
			name: prefix + "RequestsPerSecond", ask: "How many requests a second " + title + "?", fallback: "0",
			help: "In a busy hour; 0 means none.", read: readNumber(func(account *Account) *float64 { return &traffic(account).RequestsPerSecond }, true),
		},
		{
			name: prefix + "PromptTokens", ask: "How many prompt tokens has such a request?", fallback: "500", applies: busy,
			help: "On average.", read: readInteger(func(account *Account) *int64 { return &traffic(account).PromptTokens }, 1),
		},
		{
			name: prefix + "OutputTokens", ask: "How many output tokens?", fallback: "200", applies: busy,
			help: "On average.", read: readInteger(func(account *Account) *int64 { return &traffic(account).OutputTokens }, 1),
		},
	}
}
