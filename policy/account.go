package policy

import "github.com/basilkeel/basilkeel/names"

// Account is a client account with its limits.
type Account struct {
	Name names.ClientAccount
	Keys []string
	// Priority takes precedence over a route's priority where HasPriority.
	Priority    int
	HasPriority bool
	// Rate and Burst bound what the account uses, in Unit a second and Unit; a
	// zero rate means no limit.
	Rate  float64
	Burst float64
	Unit  Unit
	// DefaultTokens is what a request without a token count uses.
	DefaultTokens int64
}

// Unit is what a client account's limits count.
type Unit int

const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = iota
	// UnitTokens counts prompt tokens and the most output tokens.
	UnitTokens
)

// Cost returns what a request with tokens uses of the account's limits; a
// negative number of tokens means that the request tells none.
func (account *Account) Cost(tokens int64) float64 {
	switch {
	case account.Unit == UnitRequests:
		return 1
	case tokens < 0:
		return float64(account.DefaultTokens)
	default:
		return float64(tokens)
	}
}
