package poison

import "time"

// Snapshot is what two books tell each other.
type Snapshot struct {
	Crashes []Crash
	Excuses []Excuse
}

// Exchange returns all that the book knows, in a fixed order.
func (book *Book) Exchange() Snapshot {
	return Snapshot{Crashes: book.sorted(), Excuses: book.sortedExcuses()}
}

// Merge takes what another book knows and tells whether anything was new.
func (book *Book) Merge(now time.Time, snapshot Snapshot) bool {
	changed := false
	for _, excuse := range snapshot.Excuses {
		if _, known := book.excuses[excuse.key()]; known || book.old(now, excuse.At) {
			continue
		}
		book.excuses[excuse.key()] = excuse
		changed = true
	}
	for _, crash := range snapshot.Crashes {
		if !book.old(now, crash.At) && book.Crashed(now, crash) {
			changed = true
		}
	}
	book.trim(now)
	return changed
}

// Quarantines returns the fingerprints under quarantine and until when.
func (book *Book) Quarantines(now time.Time) map[Fingerprint]time.Time {
	quarantines := map[Fingerprint]time.Time{}
	for fingerprint := range book.index {
		if quarantined, is := book.Judge(now, fingerprint).(Quarantined); is {
			quarantines[fingerprint] = quarantined.Until
		}
	}
	return quarantines
}
