package call

// bytesPerToken is the number of bytes of text estimated as one token, as the
// tokenizer of the model is not available.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens in text from its length, rounded
// up.
func EstimateTokens(text string) Tokens {
	return Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}
