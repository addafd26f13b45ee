package ledger

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// phase is the state of an agent's hold on its engine.
type phase int

const (
	// phaseAcquiring means that the agent has no epoch, or has to acquire a higher
	// one.
	phaseAcquiring phase = iota
	// phaseHolding means that the agent holds the engine.
	phaseHolding
	// phaseReleasing means that a planned stop has begun.
	phaseReleasing
	// phaseEnded means that another agent has acquired the engine or a planned
	// stop is complete.
	phaseEnded
)

// Ledger decides which orders one agent sends. It is not safe for concurrent
// use.
type Ledger struct {
	config Config
	phase  phase
	target Target
	// wanted holds the items of target.
	wanted map[Item]bool

	record       recordState
	permission   permission
	reservations map[Item]*reservation
	caches       map[names.Request]*cache
	// cacheBytes is the size of all reserved KV caches.
	cacheBytes int64
	// users counts the generations with a reserved KV cache that use each item.
	users       map[Item]int
	predecessor predecessor
	role        roleState
	// sequence is that of the last order's fence.
	sequence int64
	// reportPending reports whether a report was requested and has not arrived.
	reportPending bool
	nextReportAt  time.Time
	// actions are those emitted in the current step.
	actions []Action
}

// recordState is what the ledger knows of the record in the store.
type recordState struct {
	// epoch is the agent's epoch; zero before it has acquired one.
	epoch int64
	// minEpoch is the lowest epoch that the agent may acquire, one above the
	// highest that the engine reported; zero while it reported none.
	minEpoch int64
	revision store.Revision
	// change numbers the last write.
	change int64
	// inFlight reports whether a read or write is in flight.
	inFlight bool
	// writeUnconfirmed reports whether the outcome of the last write is unknown.
	writeUnconfirmed bool
	// known reports whether the record was read since New or, if the engine has
	// reported a higher epoch, since then.
	known   bool
	current Record
	// noPredecessor reports whether the engine had no earlier agent when the agent
	// acquired its epoch, predecessorEnded whether it had none or that one had
	// ended.
	noPredecessor    bool
	predecessorEnded bool
	// retryAt is the earliest time of the next read or write.
	retryAt time.Time
	// failures counts the failed reads since the last success.
	failures int
	// unresolved holds the writes that may still take effect.
	unresolved []WriteRecord
}

// roleState is the state of the engine's role. The order that sets the role also
// serves as the barrier that separates reports from before and after a change of
// agents.
type roleState struct {
	inFlight    bool
	lastOrderAt time.Time
	reported    engine.Role
	// epochUnreported reports whether the last applied order that the engine
	// reported is not one of the agent's epoch.
	epochUnreported bool
}

// New returns a ledger that has not acquired an epoch.
func New(config Config) *Ledger {
	return &Ledger{
		config: config.withDefaults(), wanted: map[Item]bool{}, reservations: map[Item]*reservation{},
		caches: map[names.Request]*cache{}, users: map[Item]int{},
		target: Target{Role: engine.RoleMixed},
	}
}

// SetTarget sets the target if its version is newer than the current one, and
// reports whether it was. It leaves out adapters without their model, duplicates
// and items that do not fit into memory with those before them.
func (ledger *Ledger) SetTarget(target Target) bool {
	if target.Version <= ledger.target.Version {
		return false
	}
	items := target.Items
	ledger.target = target
	ledger.target.Items = make([]Weights, 0, len(items))
	ledger.wanted = make(map[Item]bool, len(items))
	var total int64
	for _, weights := range items {
		orphan := weights.Item.Adapter != "" && !ledger.wanted[weights.Item.base()]
		if orphan || ledger.wanted[weights.Item] || total+weights.Bytes > ledger.config.MemoryBytes {
			continue
		}
		total += weights.Bytes
		ledger.wanted[weights.Item] = true
		ledger.target.Items = append(ledger.target.Items, weights)
	}
	return true
}

// hasTarget reports whether a target was set. Until then, resident items stay.
func (ledger *Ledger) hasTarget() bool { return ledger.target.Version > 0 }

// Missing returns the items of the target that are not usable.
func (ledger *Ledger) Missing() []Item {
	var missing []Item
	for _, weights := range ledger.target.Items {
		if !ledger.Usable(weights.Item) {
			missing = append(missing, weights.Item)
		}
	}
	return missing
}

// Step handles event and returns the actions to execute.
func (ledger *Ledger) Step(now time.Time, event Event) []Action {
	if ledger.phase != phaseEnded {
		ledger.handle(now, event)
	}
	if ledger.phase != phaseEnded {
		ledger.decide(now)
	}
	actions := ledger.actions
	ledger.actions = nil
	return actions
}

func (ledger *Ledger) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case Tick:
	case RecordRead:
		ledger.recordRead(now, event)
	case RecordReadFailed:
		ledger.record.inFlight = false
		ledger.scheduleRetry(now)
	case RecordWritten:
		ledger.recordWritten(now, event)
	case RecordWriteFailed:
		ledger.record.inFlight, ledger.record.writeUnconfirmed = false, true
	case OrderAcknowledged:
		ledger.orderFinished(now, event.Order)
	case OrderUnanswered:
		ledger.orderFinished(now, event.Order)
	case OrderUnsent:
		ledger.orderFinished(now, event.Order)
	case OrderFenced:
		ledger.orderFinished(now, event.Order)
		ledger.orderFenced(event)
	case ReportReceived:
		ledger.reportPending = false
		ledger.reportReceived(now, event)
	case ReportFailed:
		ledger.reportPending = false
	case CancelAcknowledged:
		ledger.cancelAcknowledged(now, event)
	case CancelUnanswered:
		ledger.cancelUnanswered(now, event.Request)
	}
}

func (ledger *Ledger) decide(now time.Time) {
	ledger.cancelAbandoned(now)
	if !ledger.reportPending && !now.Before(ledger.nextReportAt) {
		ledger.reportPending = true
		ledger.nextReportAt = now.Add(ledger.config.ReportPeriod)
		ledger.emit(RequestReport{})
	}
	if ledger.phase == phaseHolding {
		ledger.reserveWanted()
	}
	ledger.decideRecord(now)
	if ledger.phase == phaseHolding && ledger.permitted(now) {
		ledger.decideOrders(now)
	}
}

func (ledger *Ledger) emit(action Action) { ledger.actions = append(ledger.actions, action) }

// ReservedBytes returns the memory reserved for weights and KV cache.
func (ledger *Ledger) ReservedBytes() int64 { return ledger.weightBytes() + ledger.cacheBytes }

func (ledger *Ledger) weightBytes() int64 {
	var total int64
	for _, reservation := range ledger.reservations {
		total += reservation.weights.Bytes
	}
	return total
}

// Holding reports whether the agent holds its engine.
func (ledger *Ledger) Holding() bool { return ledger.phase == phaseHolding }

// Serving reports whether the agent holds its engine and no predecessor may
// still send to it.
func (ledger *Ledger) Serving() bool {
	return ledger.phase == phaseHolding && !ledger.predecessor.active
}

// Ended reports whether the agent has lost or released its engine, so that the
// ledger returns no more actions.
func (ledger *Ledger) Ended() bool { return ledger.phase == phaseEnded }

// Epoch returns the agent's epoch, or zero before it has acquired one.
func (ledger *Ledger) Epoch() int64 { return ledger.record.epoch }

// Usable reports whether item was loaded in the last report, no unload of it
// could arrive any more, and the target, if one was set, includes it.
func (ledger *Ledger) Usable(item Item) bool {
	reservation, found := ledger.reservations[item]
	return found && reservation.usable && (ledger.wanted[item] || !ledger.hasTarget())
}

// Reserved returns the items that may be resident, sorted by model and adapter.
func (ledger *Ledger) Reserved() []Weights {
	reserved := make([]Weights, 0, len(ledger.reservations))
	for _, reservation := range ledger.reservations {
		reserved = append(reserved, reservation.weights)
	}
	sort.Slice(reserved, func(i, j int) bool { return reserved[i].Item.less(reserved[j].Item) })
	return reserved
}
