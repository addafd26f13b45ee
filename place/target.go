package place

import (
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// Target is the set of items that a plan assigns to one server.
type Target struct {
	Server names.BackendServer
	// Changed is the version of the plan that last changed the target.
	Changed Version
	Role    engine.Role
	// Items are in the order of loading, each adapter after its model.
	Items []Assignment
}

// Bytes returns the total size of the items.
func (target Target) Bytes() int64 {
	var total int64
	for _, assignment := range target.Items {
		total += assignment.Weights.Bytes
	}
	return total
}

// LedgerTarget returns the target for a ledger: the items that may be loaded and
// those that are resident. An item that the engine lost is left out until the
// planner permits its load again. The version must rise with each target that is
// passed to one ledger.
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
