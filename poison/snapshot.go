package poison

import "time"

// Snapshot is the content of a [Tracker], which instances exchange.
type Snapshot struct {
	Crashes    []Crash
	Clearances []Clearance
}

// Snapshot returns all crashes and clearances of the tracker, oldest first.
func (tracker *Tracker) Snapshot() Snapshot {
	return Snapshot{Crashes: tracker.sortedCrashes(), Clearances: tracker.sortedClearances()}
}

// Merge adds another tracker's snapshot and reports whether anything was new.
func (tracker *Tracker) Merge(now time.Time, snapshot Snapshot) bool {
	changed := false
	for _, clearance := range snapshot.Clearances {
		if _, known := tracker.clearances[clearance.key()]; known || tracker.expired(now, clearance.At) {
			continue
		}
		tracker.clearances[clearance.key()] = clearance
		changed = true
	}
	for _, crash := range snapshot.Crashes {
		if !tracker.expired(now, crash.At) && tracker.RecordCrash(now, crash) {
			changed = true
		}
	}
	tracker.prune(now)
	return changed
}

// Quarantines returns the quarantined fingerprints, each with the end of
// its quarantine.
func (tracker *Tracker) Quarantines(now time.Time) map[Fingerprint]time.Time {
	quarantines := map[Fingerprint]time.Time{}
	for fingerprint := range tracker.crashesOf {
		if quarantined, is := tracker.Classify(now, fingerprint).(Quarantined); is {
			quarantines[fingerprint] = quarantined.Until
		}
	}
	return quarantines
}
