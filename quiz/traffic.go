package quiz

// Traffic is the expected load of one kind of request.
type Traffic struct {
	RequestsPerSecond float64
	PromptTokens      int64
	OutputTokens      int64
}

func (traffic Traffic) tokens() int64 { return traffic.PromptTokens + traffic.OutputTokens }
