package poison

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Verdict is what a [Book] says of a fingerprint. It is sealed: [Clear],
// [Suspect], [Deferred] and [Quarantined] implement it.
type Verdict interface{ verdict() }

// Clear means that the fingerprint runs as any other.
type Clear struct{}

// Suspect means that the fingerprint runs alone, and not at the servers to
// avoid.
type Suspect struct{ Avoid []names.BackendServer }

// Deferred means that the fingerprint was in two crashes or more, in none of them
// alone. It is refused until then, and is a [Suspect] after it.
type Deferred struct{ Until time.Time }

// Quarantined means that the fingerprint crashed servers and is refused.
type Quarantined struct{ Until time.Time }

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Deferred) verdict()        {}
func (Quarantined) verdict() {}
