package burn

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// accountKind is the key by which requests are counted.
type accountKind struct {
	account names.ClientAccount
	kind    call.Kind
}
