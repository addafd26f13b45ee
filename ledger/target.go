package ledger

import "github.com/basilkeel/basilkeel/engine"

// Target is the state that a plan asks of one engine. Items are listed in the
// order in which they are to be loaded, each adapter after its model.
type Target struct {
	// Version numbers the plans. A target takes effect only if its version is
	// higher than that of the previous target.
	Version int64
	Role    engine.Role
	Items   []Weights
}
