package quota

import "github.com/basilkeel/basilkeel/names"

// LivenessChecker is implemented by [Peers] that also know instances which are not live.
// A home that cannot be reached may be cut off and still lend: a refused
// connection shows that it has ended only once it is not known any more.
type LivenessChecker interface {
	// MayBeRunning tells whether the instance may still run as far as the list tells.
	MayBeRunning(instance names.Instance) bool
}
