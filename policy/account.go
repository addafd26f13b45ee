package policy

import "github.com/basilkeel/basilkeel/names"

// Account is a client account with its limits.
type Account struct {
	Name names.ClientAccount
	Keys []string
	// Priority takes precedence over a route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst limit the account's use, in units per second and in units; a rate
	// of zero means no limit.
	Rate  float64
	Burst float64
	// Unit is the unit of Rate and Burst.
	Unit Unit
	// DefaultTokens is the token count of a request that states none.
	DefaultTokens int64
	// Homes are the regions outside of which no server gets the account's requests; empty
	// means that they are not restricted.
	Homes []names.Region
}

// Unit is the unit of a client account's limits.
type Unit int

const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = iota
	// UnitTokens counts a request's prompt tokens plus its maximum of output tokens.
	UnitTokens
)

// Cost returns what a request counts against the account's limits. A negative number
// of tokens means that the request states none.
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
