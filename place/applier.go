package place

import (
	"sync"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
)

// Loader is the part of an agent's loader that an [Applier] uses.
type Loader interface {
	SetTarget(target ledger.Target) bool
}

// Applier passes the target of each plan to an agent's loader. It leaves out
// the items that are neither resident on the engine nor permitted to load. It
// is safe for concurrent use.
type Applier struct {
	loader Loader

	// mu guards the fields below. The loader's lock is acquired while mu is held.
	mu            sync.Mutex
	planVersion   Version
	target        Target
	ledgerVersion int64
	// reported is true once the engine has reported; boot and resident are from
	// its last report.
	reported bool
	boot     string
	resident []ledger.Weights
}

// NewApplier returns an applier that sets the target of loader.
func NewApplier(loader Loader) *Applier { return &Applier{loader: loader} }

// Apply applies the target that the plan has for the server, and reports
// whether the plan is newer than all those applied before. Until a plan has a
// target for the server, resident items stay.
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

// HandleReport records an engine's report; it must be called before the ledger
// handles the report. After an engine restart it removes the items that the
// engine lost from the loader's target, until a plan permits their load.
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

// updateLoader sets the loader's target if there is one and the engine has
// reported. The caller holds mu.
func (applier *Applier) updateLoader() {
	if !applier.reported || applier.target.Changed == 0 {
		return
	}
	applier.ledgerVersion++
	applier.loader.SetTarget(applier.target.LedgerTarget(applier.ledgerVersion, applier.resident))
}
