package place

import "github.com/basilkeel/basilkeel/ledger"

// Assignment is one item that a plan wants at a server.
type Assignment struct {
	Weights ledger.Weights
	// MayLoad permits the agent to load the item. Without it the item stays only
	// where it is resident already.
	MayLoad bool
}
