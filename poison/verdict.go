package poison

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Verdict is how to treat a request, as classified by a [Tracker]. It is sealed:
// [Clear], [Suspect], [Deferred] and [Quarantined] implement it.
type Verdict interface{ verdict() }

// Clear means that the request runs without restrictions.
type Clear struct{}

// Suspect means that the request may have crashed a server. It runs alone, and
// not on the servers in Avoid.
type Suspect struct{ Avoid []names.BackendServer }

// Deferred means that two or more crashes count against the request, but that it
// ran alone in none of them. It is refused before Until, and a [Suspect]
// afterwards.
type Deferred struct{ Until time.Time }

// Quarantined means that the request crashed servers. It is refused before Until.
type Quarantined struct{ Until time.Time }

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Deferred) verdict()    {}
func (Quarantined) verdict() {}
