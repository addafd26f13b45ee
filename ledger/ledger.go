package ledger

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// phase is where a ledger stands with its record.
type phase int

const (
	// phaseAcquiring is before the agent has an epoch.
	phaseAcquiring phase = iota
	// phaseHolding is while the agent may act.
	phaseHolding
	// phaseReleasing is after a planned stop began.
	phaseReleasing
	// phaseEnded is once another agent has the engine, or a stop is complete.
	phaseEnded
)

// Ledger decides on the orders of one agent. It is not safe for concurrent use.
type Ledger struct {
	config Config
	phase  phase
	target Target
	wanted map[Item]bool

	record        recordState
	permission    permission
	reservations  map[Item]*reservation
	caches        map[names.Request]*cache
	cacheBytes    int64
	users         map[Item]int
	predecessor   predecessor
	role          roleState
	sequence      int64
	reportPending bool
	nextReportAt  time.Time
	actions       []Action
}

// recordState is what the ledger knows of its record.
type recordState struct {
	epoch    int64
	minEpoch int64
	revision store.Revision
	change   int64
	// inFlight tells that a read or write is under way.
	inFlight bool
	// writeUnconfirmed tells that a write's effect is not known.
	writeUnconfirmed bool
	// known tells that the record was read at least once.
	known   bool
	current Record
	// noPredecessor tells that there was no predecessor, gone that it had ended, when
	// the epoch was taken.
	noPredecessor    bool
	predecessorEnded bool
	retryAt          time.Time
	failures         int
	// unresolved holds writes that may still take effect.
	unresolved []WriteRecord
}

// roleState is where the engine's role stands; its order is also the barrier
// that orders reports after the change of agents.
type roleState struct {
	inFlight    bool
	lastOrderAt time.Time
	reported    engine.Role
	// epochUnreported tells that the engine shows no order of the agent.
	epochUnreported bool
}

// New returns a ledger that has no epoch yet.
func New(config Config) *Ledger {
	return &Ledger{
		config: config.withDefaults(), wanted: map[Item]bool{}, reservations: map[Item]*reservation{},
		caches: map[names.Request]*cache{}, users: map[Item]int{},
		target: Target{Role: engine.RoleMixed},
	}
}

// SetTarget takes the target of a newer plan and tells whether it was newer.
// Items that do not fit into memory together are left out.
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

// hasPlan tells that there was a plan. Until then what is resident stays.
func (ledger *Ledger) hasPlan() bool { return ledger.target.Version > 0 }

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

// Step takes an event and returns what is to be done.
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

// Holding tells that the agent has its engine.
func (ledger *Ledger) Holding() bool { return ledger.phase == phaseHolding }

// Serving tells that the agent has its engine to itself.
func (ledger *Ledger) Serving() bool {
	return ledger.phase == phaseHolding && !ledger.predecessor.active
}

// Ended tells that the agent will do nothing more.
func (ledger *Ledger) Ended() bool { return ledger.phase == phaseEnded }

// Epoch returns the agent's epoch; zero before it has one.
func (ledger *Ledger) Epoch() int64 { return ledger.record.epoch }

// Usable tells that item was resident and loaded in the last report and that
// the plan, if there is one, wants it.
func (ledger *Ledger) Usable(item Item) bool {
	reservation, found := ledger.reservations[item]
	return found && reservation.usable && (ledger.wanted[item] || !ledger.hasPlan())
}

// Reserved returns what may be resident, by item.
func (ledger *Ledger) Reserved() []Weights {
	reserved := make([]Weights, 0, len(ledger.reservations))
	for _, reservation := range ledger.reservations {
		reserved = append(reserved, reservation.weights)
	}
	sort.Slice(reserved, func(i, j int) bool { return reserved[i].Item.less(reserved[j].Item) })
	return reserved
}
