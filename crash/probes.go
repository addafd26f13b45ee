package crash

import "time"

const (
	// probeDelay is the time after the last crash of a quarantined part before a prompt
	// may probe it. By then all requests that had been sent before the quarantine began are
	// known to have crashed their servers or not. probeBackoff multiplies it for each
	// crash that a probe has caused.
	probeDelay   = 2 * time.Second
	probeBackoff = 30
	// probeInterval is the least time between two probes, so that the result of one is
	// known before the next.
	probeInterval = 5 * time.Second
)

// probes decides when a prompt may be sent although one of its parts is quarantined. A
// part that has only ever come together with the one that crashes servers has nothing to
// clear it, so that one prompt has to show which of the two it is.
type probes struct {
	// rank is this entry's place among all entries, and entries their number, or zero if
	// it is unknown. Each part is probed by one entry.
	rank, entries int
	// lastAt maps parts to the time of their last probe.
	lastAt map[Fingerprint]time.Time
}

func newProbes() probes { return probes{lastAt: map[Fingerprint]time.Time{}} }

// SetPlace sets this entry's place among all entries, from zero on.
func (tracker *Tracker) SetPlace(rank, entries int) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.probes.rank, tracker.probes.entries = rank, entries
}

// StartProbe reports whether a prompt may be sent to one server although the part is
// quarantined. Its other parts must not be quarantined.
func (tracker *Tracker) StartProbe(part Fingerprint, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	probes := &tracker.probes
	known, found := tracker.suspects.bySubject[Subject{Fingerprint: part, Part: true}]
	if !found || probes.entries == 0 || uint64(part)%uint64(probes.entries) != uint64(probes.rank) {
		return false
	}
	for probed, at := range probes.lastAt {
		if now.Sub(at) > SuspicionLifetime {
			delete(probes.lastAt, probed)
		}
	}
	if now.Sub(known.lastCrash) < known.probeWait() || now.Sub(probes.lastAt[part]) < probeInterval {
		return false
	}
	probes.lastAt[part] = now
	return true
}

// probeWait returns the time after the last crash before the part may be probed. Crashes
// that came long after the former one are taken for those of probes, as an entry that takes
// over does not know of its predecessor's probes.
func (suspect *suspect) probeWait() time.Duration {
	wait := probeDelay
	crashes := suspect.crashes()
	for index := QuarantineThreshold; index < len(crashes); index++ {
		if crashes[index].Sub(crashes[index-1]) >= probeDelay {
			wait *= probeBackoff
		}
		if wait > SuspicionLifetime {
			return SuspicionLifetime
		}
	}
	return wait
}
