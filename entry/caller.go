package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
)

// noConfigRetryAfter is the retry delay sent by an entry that has just started
// and has no configuration yet.
const noConfigRetryAfter = 2 * time.Second

// caller identifies who sent a request. On open routes it is the zero value.
type caller struct {
	account   names.ClientAccount
	admission ident.Admission
	// hasKey reports whether the request was admitted by a key.
	hasKey bool
}
