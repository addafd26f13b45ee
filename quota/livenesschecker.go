package quota

import "github.com/basilkeel/basilkeel/names"

// LivenessChecker is implemented by [Peers] that also know of instances that
// are not live but may still run. A holder that cannot be reached may be
// partitioned and still lend, so a refused connection proves that it has ended
// only if MayBeRunning reports false.
type LivenessChecker interface {
	// MayBeRunning reports whether the instance may still run, according to the
	// membership list.
	MayBeRunning(instance names.Instance) bool
}
