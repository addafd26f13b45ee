package quiz

import "time"

func delayQuestions() []question[Delays] {
	interactive := func(delays *Delays) *Delay { return &delays.Interactive }
	questions := []question[Delays]{
		{
			name: "interactiveFirstToken", ask: "Someone waits: how late may the first token be?", fallback: "460ms",
			help: "Such as 460ms or 2s; 0 means no bound.", read: readDelay(func(delays *Delays) *time.Duration { return &delays.Interactive.FirstToken }),
		},
		{
			name: "interactiveBetweenTokens", ask: "Someone waits: how long may the gap between two tokens be?", fallback: "46ms",
			help: "46ms is about as fast as one reads.", read: readDelay(func(delays *Delays) *time.Duration { return &delays.Interactive.BetweenTokens }),
		},
	}
	questions = append(questions, wholeQuestions("interactive", "Someone waits", "0", "95", interactive)...)
	questions = append(questions, wholeQuestions("verdict", "Verdicts, of use only when whole", "2s", "95", func(delays *Delays) *Delay { return &delays.Verdict })...)
	questions = append(questions, wholeQuestions("transaction", "Orders and lookups", "1s", "99", func(delays *Delays) *Delay { return &delays.Transaction })...)
	return append(questions, wholeQuestions("batch", "Work that can wait", "8h", "95", func(delays *Delays) *Delay { return &delays.Batch })...)
}

// wholeQuestions returns the questions for the time by which a kind of request
// must be complete, and for the percentage of requests that must meet its bounds.
func wholeQuestions(prefix, title, whole, share string, delay func(*Delays) *Delay) []question[Delays] {
	return []question[Delays]{
		{
			name: prefix + "Whole", ask: title + ": by when must the whole answer be there?", fallback: whole,
			help: "Such as 2s or 8h; 0 means no bound.", read: readDelay(func(delays *Delays) *time.Duration { return &delay(delays).Whole }),
		},
		{
			name: prefix + "Percent", ask: title + ": in how many of 100 requests?", fallback: share,
			help: "The rest may be late without spending more than the budget.", read: readPercent(func(delays *Delays) *float64 { return &delay(delays).Percent }),
		},
	}
}
