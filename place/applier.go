package place

import (
	"sync"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
)

// Loader is what an [Applier] needs of an agent's loader.
type Loader interface {
	SetTarget(target ledger.Target) bool
}

// Applier gives an agent's loader the target of each plan, without the items
// that the engine does not hold and may not load yet. It is safe for concurrent
// use.
type Applier struct {
	loader Loader

	// mu guards all below; the loader's own lock is taken under it.
	mu            sync.Mutex
	planVersion   Version
	target        Target
	ledgerVersion int64
	// reported tells that the engine has reported, boot and resident what it said.
	reported bool
	boot     string
	resident []ledger.Weights
}

// NewApplier returns an applier to loader.
func NewApplier(loader Loader) *Applier { return &Applier{loader: loader} }

// Apply takes the target of plan and tells whether it is newer than any taken.
// Until a plan has a target for the server, what is resident stays.
func (applier *Applier) Apply(plan Version, target Target) bool {
	applier.mu.Lock()
	defer applier.mu.Unlock()
	if plan <= applier.planVersion {
		return false
	}
	applier.planVersion = plan
	if target.Changed > applier.target.Changed {
		applier.target = target
		applier.updateLoader()
	}
	return true
}

// HandleReport takes an engine's report before the ledger does. After a start of
// the engine, what it lost is no longer wanted until a plan permits its load.
func (applier *Applier) HandleReport(report engine.Report) {
	applier.mu.Lock()
	defer applier.mu.Unlock()
	started := !applier.reported || applier.boot != report.Boot
	applier.reported, applier.boot, applier.resident = true, report.Boot, nil
	for _, item := range report.Resident {
		applier.resident = append(applier.resident, ledger.Weights{
			Item: ledger.Item{Model: item.Model, Adapter: item.Adapter}, Bytes: item.Bytes,
		})
	}
	if started {
		applier.updateLoader()
	}
}

// updateLoader gives the target to the loader, once there is one and the engine has
// reported; mu is held.
func (applier *Applier) updateLoader() {
	if !applier.reported || applier.target.Changed == 0 {
		return
	}
	applier.ledgerVersion++
	applier.loader.SetTarget(applier.target.LedgerTarget(applier.ledgerVersion, applier.resident))
}
