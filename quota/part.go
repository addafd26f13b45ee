package quota

import "github.com/basilkeel/basilkeel/call"

// Part is the part of a reservation that was spent from one seat's credit.
type Part struct {
	seat   int
	cohort *cohort
	tokens call.Tokens
}
