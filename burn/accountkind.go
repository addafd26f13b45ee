package burn

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// accountKind is what is counted apart.
type accountKind struct {
	account names.ClientAccount
	kind    call.Kind
}
