package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRetryDoublings bounds the growth of the wait between reads.
	maxRetryDoublings = 6
	// retryShares is how finely agents differ in that wait.
	retryShares = 16
)

// recordRead takes what the platform's service holds.
func (ledger *Ledger) recordRead(now time.Time, read RecordRead) {
	state := &ledger.record
	state.busy, state.unsure, state.known, state.failures = false, false, true, 0
	if read.Revision != state.revision {
		state.doubts = nil
	}
	state.revision, state.current = read.Revision, read.Record
	own := read.Found && read.Record.Holder == ledger.config.Instance
	switch {
	case ledger.phase == phaseTaking && own && read.Record.Epoch >= state.minEpoch:
		ledger.taken(now, read.RequestedAt, read.Record)
	case ledger.phase == phaseTaking && (state.epoch == 0 || !read.Found):
		// The next write takes the epoch above this one.
	case !own:
		ledger.lose(read.Record.Epoch)
	default:
		ledger.permission.confirmedAt = later(ledger.permission.confirmedAt, read.RequestedAt)
		ledger.adopt(read.Record)
	}
}

func (ledger *Ledger) recordWritten(now time.Time, written RecordWritten) {
	state := &ledger.record
	state.busy, state.unsure, state.failures, state.doubts = false, false, 0, nil
	state.revision, state.current = written.Revision, written.Record
	if ledger.phase == phaseTaking {
		// A write that was given out before a higher epoch was seen takes none.
		if written.Record.Epoch > state.epoch && written.Record.Epoch >= state.minEpoch {
			ledger.taken(now, written.RequestedAt, written.Record)
		}
		return
	}
	ledger.permission.confirmedAt = later(ledger.permission.confirmedAt, written.RequestedAt)
	ledger.adopt(written.Record)
}

// taken begins to hold the engine. Whatever the record names may be resident,
// by orders that the predecessor could send until its permission ended.
func (ledger *Ledger) taken(now, askedAt time.Time, record Record) {
	ledger.phase = phaseHolding
	ledger.record.epoch = record.Epoch
	ledger.sequence = 0
	for _, weights := range record.Envelope {
		current, found := ledger.entries[weights.Item]
		if !found {
			current = &entry{weights: weights}
			ledger.entries[weights.Item] = current
		}
		current.weights.Bytes = max(current.weights.Bytes, weights.Bytes)
		current.proof = noFence
	}
	ledger.foreign = foreign{present: true, until: now.Add(ledger.takeOverWait())}
	ledger.role = roleState{unmarked: true}
	ledger.permission = permission{confirmedAt: askedAt}
	ledger.adopt(record)
}

// takeOverWait bounds the time from now to the arrival of the last message that
// a predecessor sends by what it knows from the service.
func (ledger *Ledger) takeOverWait() time.Duration {
	switch {
	case ledger.record.first:
		return 0
	case ledger.record.gone:
		return ledger.config.OrderLifetime
	default:
		return ledger.config.Permission + ledger.config.OrderLifetime
	}
}

// adopt takes record as what a successor would inherit, or a write in doubt
// if that takes effect after all: an item counts as recorded if each names it.
func (ledger *Ledger) adopt(record Record) {
	if record.Released {
		ledger.phase = phaseEnded
	}
	named := map[Item]int{}
	countItems(named, record.Envelope)
	for _, doubt := range ledger.record.doubts {
		countItems(named, doubt.Record.Envelope)
	}
	for item, entry := range ledger.entries {
		entry.recorded = named[item] == 1+len(ledger.record.doubts)
	}
}

func countItems(named map[Item]int, envelope []Weights) {
	for _, weights := range envelope {
		named[weights.Item]++
	}
}

func (ledger *Ledger) lose(epoch int64) {
	ledger.phase = phaseEnded
	ledger.act(Terminate{Epoch: epoch})
}

// decideRecord starts the read or write that is due, one at a time.
func (ledger *Ledger) decideRecord(now time.Time) {
	state := &ledger.record
	if state.busy || now.Before(state.retryAt) {
		return
	}
	switch {
	case state.unsure || !state.known:
		ledger.read()
	case ledger.phase == phaseTaking:
		ledger.takeEpoch()
	case ledger.phase == phaseReleasing && len(ledger.caches) == 0:
		ledger.write(state.epoch, ledger.Reserved())
	case ledger.phase == phaseHolding && ledger.unrecorded():
		ledger.write(state.epoch, ledger.Reserved())
	case ledger.fading(now):
		ledger.read()
	}
}

// takeEpoch writes the record of the next epoch with what the last one named.
func (ledger *Ledger) takeEpoch() {
	state := &ledger.record
	current := state.current
	sameAddress := current.Address != "" && current.Address == ledger.config.Address
	state.first = state.minEpoch == 0 && current.Epoch == 0
	state.gone = state.first || state.minEpoch == 0 && (current.Released || sameAddress)
	ledger.write(max(current.Epoch, state.minEpoch-1)+1, current.Envelope)
}

// retryRecord spreads repeated reads: the wait doubles up to half the
// permission, and differs between agents.
func (ledger *Ledger) retryRecord(now time.Time) {
	state := &ledger.record
	wait := ledger.config.RetryWait << min(state.failures, maxRetryDoublings)
	wait = min(wait, ledger.config.Permission/2)
	state.failures++
	share := time.Duration(xxhash.Sum64String(string(ledger.config.Instance)) % retryShares)
	state.retryAt = now.Add(wait + wait*share/retryShares)
}

func (ledger *Ledger) read() {
	ledger.record.busy = true
	ledger.act(ReadRecord{})
}

func (ledger *Ledger) write(epoch int64, envelope []Weights) {
	state := &ledger.record
	state.busy = true
	state.change++
	write := WriteRecord{Expected: state.revision, Record: Record{
		Epoch: epoch, Holder: ledger.config.Instance, Address: ledger.config.Address, Change: state.change,
		Released: ledger.phase == phaseReleasing, Envelope: envelope,
	}}
	state.doubts = append(state.doubts, write)
	ledger.act(write)
}

// unrecorded tells that memory is reserved for a wanted item that the
// confirmed record does not name.
func (ledger *Ledger) unrecorded() bool {
	for item, entry := range ledger.entries {
		if !entry.recorded && ledger.wanted[item] {
			return true
		}
	}
	return false
}

// Release begins the planned end of the agent. Call it when no generation runs.
func (ledger *Ledger) Release(now time.Time) []Action {
	if ledger.phase == phaseHolding {
		ledger.phase = phaseReleasing
	}
	return ledger.Step(now, Tick{})
}
