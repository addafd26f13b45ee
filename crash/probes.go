package crash

import "time"

const (
	// probeDelay is the time after the last crash of a quarantined part before a prompt
	// may probe it. probeBackoff multiplies it for each crash of a probe.
	probeDelay   = 2 * time.Second
	probeBackoff = 30
	// probeInterval is the least time between two probes, so that the result of one is
	// known before the next.
	probeInterval = 5 * time.Second
	// probeRetry is when to ask again for a part that is not known to be quarantined.
	probeRetry = 500 * time.Millisecond
)

// Probe reports whether one prompt may be sent to one server although the part is
// quarantined, and otherwise how long to wait. A part that has only ever come together with
// the one that crashes servers has nothing to clear it, so that a prompt has to show which of
// the two it is. The prompt's other parts must not be quarantined.
func (aggregator *Aggregator) Probe(part Fingerprint, now time.Time) (time.Duration, bool) {
	aggregator.suspects.settle(now)
	subject := Subject{Fingerprint: part, Part: true}
	if !aggregator.suspects.quarantined(subject, now) {
		return probeRetry, false
	}
	for probed, at := range aggregator.probes {
		if now.Sub(at) > SuspicionLifetime {
			delete(aggregator.probes, probed)
		}
	}
	known := aggregator.suspects.bySubject[subject]
	wait := max(known.lastCrash.Add(known.probeWait()).Sub(now), aggregator.probes[part].Add(probeInterval).Sub(now))
	if wait > 0 {
		return wait, false
	}
	aggregator.probes[part] = now
	return 0, true
}

// probeWait returns the time after the last crash before the part may be probed. The crashes
// of former probes come with the suspicions, as a coordinator does not know of its
// predecessor's probes.
func (suspect *suspect) probeWait() time.Duration {
	wait := probeDelay
	for _, ending := range suspect.servers {
		if ending.probe {
			wait *= probeBackoff
		}
		if wait > SuspicionLifetime {
			return SuspicionLifetime
		}
	}
	return wait
}
