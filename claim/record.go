package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Record is the stored state of a claim. A later record of the same claim
// replaces an earlier one.
type Record struct {
	ID          ID
	Fingerprint Fingerprint
	Attempt     names.Request
	State       State
	Time        time.Time
	// Answer is returned to repeats of a call in [StateRan]; nil if it is not
	// stored.
	Answer *Answer
}
