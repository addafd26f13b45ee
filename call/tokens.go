package call

// Tokens is a number of model tokens. It includes prompt and output tokens unless
// stated otherwise.
type Tokens int64

// TokenRate is a rate in tokens per second.
type TokenRate float64
