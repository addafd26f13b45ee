package poison

import "time"

// Clearance states that one fingerprint did not cause one crash: it has since
// completed while running alone, an operator lifted its quarantine, or the crash
// was dismissed.
type Clearance struct {
	Crash       CrashID
	Fingerprint Fingerprint
	At          time.Time
}

type clearanceKey struct {
	crash       CrashID
	fingerprint Fingerprint
}

func (clearance Clearance) key() clearanceKey {
	return clearanceKey{crash: clearance.Crash, fingerprint: clearance.Fingerprint}
}
