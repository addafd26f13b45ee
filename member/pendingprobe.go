package member

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// pendingProbe is a probe that awaits its reply.
type pendingProbe struct {
	target   names.Instance
	relayed  bool
	deadline time.Time
}
