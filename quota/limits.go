package quota

import "github.com/basilkeel/basilkeel/names"

// Limits provides the rate and burst of client accounts.
type Limits interface {
	// Limit returns the limit in force, and false for an unknown account.
	Limit(account names.ClientAccount) (Limit, bool)
}
