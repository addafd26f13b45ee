package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
)

// noConfigRetryAfter is when to come back to an entry that has just started.
const noConfigRetryAfter = 2 * time.Second

// caller is who sent a request. On open routes it is the zero value.
type caller struct {
	account   names.ClientAccount
	admission ident.Admission
	// hasKey tells that the request was admitted by a key.
	hasKey bool
}
