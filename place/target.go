package place

import (
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// Target is what a plan wants at one server.
type Target struct {
	Server names.BackendServer
	// Changed is the version of the plan that last changed the target.
	Changed Version
	Role    engine.Role
	// Items come in the order of loading, each adapter after its model.
	Items []Assignment
}

// Bytes returns what the items take together.
func (target Target) Bytes() int64 {
	var total int64
	for _, assignment := range target.Items {
		total += assignment.Weights.Bytes
	}
	return total
}

// LedgerTarget returns the target as a ledger takes it: the items that may be loaded
// and those that the engine holds. An item that an engine lost waits for
// the planner's permission to load it again. The version must rise with each
// target given to one ledger.
func (target Target) LedgerTarget(version int64, resident []ledger.Weights) ledger.Target {
	isResident := make(map[ledger.Item]bool, len(resident))
	for _, weights := range resident {
		isResident[weights.Item] = true
	}
	result := ledger.Target{Version: version, Role: target.Role}
	for _, assignment := range target.Items {
		if assignment.MayLoad || isResident[assignment.Weights.Item] {
			result.Items = append(result.Items, assignment.Weights)
		}
	}
	return result
}
