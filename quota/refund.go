package quota

import "github.com/basilkeel/basilkeel/call"

// Refund is the tokens of reported reservations that were not used.
type Refund struct {
	// Stamp is the point of the portion's history after which the reservations
	// were counted as spent.
	Stamp  int64
	Tokens call.Tokens
}
