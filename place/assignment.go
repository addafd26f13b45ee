package place

import "github.com/basilkeel/basilkeel/ledger"

// Assignment is one item of a server's target.
type Assignment struct {
	Weights ledger.Weights
	// MayLoad permits the agent to load the item. Without the permission the
	// agent only keeps an item that is already resident.
	MayLoad bool
}
