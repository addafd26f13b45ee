package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRetryDoublings bounds the growth of the delay between reads.
	maxRetryDoublings = 6
	// retryJitterSteps is the number of different delays among agents.
	retryJitterSteps = 16
)

// recordRead handles the record that was read from the store.
func (ledger *Ledger) recordRead(now time.Time, read RecordRead) {
	state := &ledger.record
	state.inFlight, state.writeUnconfirmed, state.known, state.failures = false, false, true, 0
	if read.Revision != state.revision {
		state.unresolved = nil
	}
	state.revision, state.current = read.Revision, read.Record
	own := read.Found && read.Record.Holder == ledger.config.Instance
	switch {
	case ledger.phase == phaseAcquiring && own && read.Record.Epoch >= state.minEpoch:
		ledger.beginHolding(now, read.RequestedAt, read.Record)
	case ledger.phase == phaseAcquiring && (state.epoch == 0 || !read.Found):
		// The next write acquires the epoch above that of this record.
	case !own:
		ledger.terminate(read.Record.Epoch)
	default:
		ledger.permission.recordConfirmedAt = later(ledger.permission.recordConfirmedAt, read.RequestedAt)
		ledger.applyRecord(read.Record)
	}
}

func (ledger *Ledger) recordWritten(now time.Time, written RecordWritten) {
	state := &ledger.record
	state.inFlight, state.writeUnconfirmed, state.failures, state.unresolved = false, false, 0, nil
	state.revision, state.current = written.Revision, written.Record
	if ledger.phase == phaseAcquiring {
		// A write emitted before the engine reported a higher epoch acquires
		// nothing.
		if written.Record.Epoch > state.epoch && written.Record.Epoch >= state.minEpoch {
			ledger.beginHolding(now, written.RequestedAt, written.Record)
		}
		return
	}
	ledger.permission.recordConfirmedAt = later(ledger.permission.recordConfirmedAt, written.RequestedAt)
	ledger.applyRecord(written.Record)
}

// beginHolding starts to hold the engine with the epoch of record. Every item that
// the record names may be resident, through orders that the predecessor could
// send until its permission expired.
func (ledger *Ledger) beginHolding(now, requestedAt time.Time, record Record) {
	ledger.phase = phaseHolding
	ledger.record.epoch = record.Epoch
	ledger.sequence = 0
	for _, weights := range record.Envelope {
		current, found := ledger.reservations[weights.Item]
		if !found {
			current = &reservation{weights: weights}
			ledger.reservations[weights.Item] = current
		}
		current.weights.Bytes = max(current.weights.Bytes, weights.Bytes)
		current.unloadFence = noFence
	}
	ledger.predecessor = predecessor{active: true, latestArrival: now.Add(ledger.recordWindow())}
	ledger.role = roleState{epochUnreported: true}
	ledger.permission = permission{recordConfirmedAt: requestedAt}
	ledger.applyRecord(record)
}

// recordWindow bounds the time from now to the arrival of the last message that a
// predecessor sends because the store confirmed its record.
func (ledger *Ledger) recordWindow() time.Duration {
	switch {
	case ledger.record.noPredecessor:
		return 0
	case ledger.record.predecessorEnded:
		return ledger.config.OrderLifetime
	default:
		return ledger.config.RecordValidity + ledger.config.OrderLifetime
	}
}

// applyRecord applies a confirmed record. A successor could read this record or
// any unresolved write that takes effect later, so that an item counts as
// recorded only if all of them name it.
func (ledger *Ledger) applyRecord(record Record) {
	if record.Released {
		ledger.phase = phaseEnded
	}
	counts := map[Item]int{}
	countItems(counts, record.Envelope)
	for _, write := range ledger.record.unresolved {
		countItems(counts, write.Record.Envelope)
	}
	for item, reservation := range ledger.reservations {
		reservation.recorded = counts[item] == 1+len(ledger.record.unresolved)
	}
}

func countItems(counts map[Item]int, envelope []Weights) {
	for _, weights := range envelope {
		counts[weights.Item]++
	}
}

func (ledger *Ledger) terminate(epoch int64) {
	ledger.phase = phaseEnded
	ledger.emit(Terminate{Epoch: epoch})
}

// decideRecord emits the read or write of the record that is due, one at a time.
func (ledger *Ledger) decideRecord(now time.Time) {
	state := &ledger.record
	if state.inFlight || now.Before(state.retryAt) {
		return
	}
	switch {
	case state.writeUnconfirmed || !state.known:
		ledger.readRecord()
	case ledger.phase == phaseAcquiring:
		ledger.acquireEpoch()
	case ledger.phase == phaseReleasing && len(ledger.caches) == 0:
		ledger.writeRecord(state.epoch, ledger.Reserved())
	case ledger.phase == phaseHolding && ledger.hasUnrecorded():
		ledger.writeRecord(state.epoch, ledger.Reserved())
	case ledger.expiresSoon(now):
		ledger.readRecord()
	}
}

// acquireEpoch writes the record of the next epoch, with the envelope of the last.
func (ledger *Ledger) acquireEpoch() {
	state := &ledger.record
	current := state.current
	sameAddress := current.Address != "" && current.Address == ledger.config.Address
	state.noPredecessor = state.minEpoch == 0 && current.Epoch == 0
	state.predecessorEnded = state.noPredecessor || state.minEpoch == 0 && (current.Released || sameAddress)
	ledger.writeRecord(max(current.Epoch, state.minEpoch-1)+1, current.Envelope)
}

// scheduleRetry delays the next read after a failed one. The delay doubles with
// each failure up to half of RecordValidity, and is longer by a part that depends
// on the instance, so that agents do not retry all at once.
func (ledger *Ledger) scheduleRetry(now time.Time) {
	state := &ledger.record
	wait := ledger.config.RetryWait << min(state.failures, maxRetryDoublings)
	wait = min(wait, ledger.config.RecordValidity/2)
	state.failures++
	jitter := time.Duration(xxhash.Sum64String(string(ledger.config.Instance)) % retryJitterSteps)
	state.retryAt = now.Add(wait + wait*jitter/retryJitterSteps)
}

func (ledger *Ledger) readRecord() {
	ledger.record.inFlight = true
	ledger.emit(ReadRecord{})
}

func (ledger *Ledger) writeRecord(epoch int64, envelope []Weights) {
	state := &ledger.record
	state.inFlight = true
	state.change++
	write := WriteRecord{Expected: state.revision, Record: Record{
		Epoch: epoch, Holder: ledger.config.Instance, Address: ledger.config.Address, Change: state.change,
		Released: ledger.phase == phaseReleasing, Envelope: envelope,
	}}
	state.unresolved = append(state.unresolved, write)
	ledger.emit(write)
}

// hasUnrecorded reports whether memory is reserved for a wanted item that the
// confirmed record does not name.
func (ledger *Ledger) hasUnrecorded() bool {
	for item, reservation := range ledger.reservations {
		if !reservation.recorded && ledger.wanted[item] {
			return true
		}
	}
	return false
}

// Release begins a planned stop and returns the actions to execute. Call it when
// no generation runs; the record is released once no KV cache is reserved.
func (ledger *Ledger) Release(now time.Time) []Action {
	if ledger.phase == phaseHolding {
		ledger.phase = phaseReleasing
	}
	return ledger.Step(now, Tick{})
}
