package crash

import (
	"slices"
	"time"
)

const (
	// probeDelay is the time after the last crash of a quarantined part before a prompt
	// may probe it. probeBackoff multiplies it for each failed probe.
	probeDelay   = 2 * time.Second
	probeBackoff = 30
	// suspectProbeDelay is that time for a prompt that has all quarantined parts of some
	// crash, if these are several. It leaves time for a prompt with fewer of them, which is
	// less likely to crash another server and shows more if it is answered.
	suspectProbeDelay = 10 * time.Second
	// probeInterval is the least time between two probes, so that the result of one is
	// known before the next.
	probeInterval = 5 * time.Second
	// probeRetry is when to ask again for a part that is not known to be quarantined.
	probeRetry = 500 * time.Millisecond
)

// Probe reports whether one prompt may be sent to one server although parts of it are
// quarantined, and otherwise how long to wait. Parts that have only ever come together with
// the one that crashes servers have nothing to clear them, so that a prompt with some of them
// has to show which ones are sound. parts are all of the prompt's quarantined parts.
func (aggregator *Aggregator) Probe(parts []Fingerprint, now time.Time) (time.Duration, bool) {
	aggregator.suspects.settle(now)
	var lastCrash, lastProbe time.Time
	for _, part := range parts {
		subject := Subject{Fingerprint: part, Part: true}
		if !aggregator.suspects.quarantined(subject, now) {
			return probeRetry, false
		}
		lastCrash = later(lastCrash, aggregator.suspects.bySubject[subject].lastCrash)
		lastProbe = later(lastProbe, aggregator.probes[part])
	}
	for probed, at := range aggregator.probes {
		if now.Sub(at) > SuspicionLifetime {
			delete(aggregator.probes, probed)
		}
	}
	wait := max(lastCrash.Add(aggregator.probeWait(parts, now)).Sub(now), lastProbe.Add(probeInterval).Sub(now))
	if wait > 0 {
		return wait, false
	}
	for _, part := range parts {
		aggregator.probes[part] = now
	}
	return 0, true
}

// probeWait returns the time after the last crash before a prompt with the given quarantined
// parts may be a probe. A failed probe delays only prompts that have all of its parts that
// are still quarantined: the others may lack the one that crashes servers.
func (aggregator *Aggregator) probeWait(parts []Fingerprint, now time.Time) time.Duration {
	wait, failed := probeDelay, 0
	for _, crash := range aggregator.suspects.quarantinedCrashes(now) {
		if len(parts) > 1 && ContainsAll(parts, crash.parts) {
			wait = suspectProbeDelay
		}
		if len(crash.probed) > 0 && ContainsAll(parts, crash.probed) {
			failed++
		}
	}
	for range failed {
		wait = min(wait*probeBackoff, SuspicionLifetime)
	}
	return wait
}

// quarantinedCrash is a crash of a server under quarantined parts.
type quarantinedCrash struct {
	// parts are the quarantined parts that the server had not begun to answer, probed those
	// of them that a probe had.
	parts, probed []Fingerprint
}

// quarantinedCrashes returns the crashes under parts that are quarantined, by server.
func (suspects *suspects) quarantinedCrashes(now time.Time) map[string]quarantinedCrash {
	crashes := map[string]quarantinedCrash{}
	for subject, known := range suspects.bySubject {
		if !subject.Part || !suspects.quarantined(subject, now) {
			continue
		}
		for server, ending := range known.servers {
			crash := crashes[server]
			crash.parts = append(crash.parts, subject.Fingerprint)
			if ending.probe {
				crash.probed = append(crash.probed, subject.Fingerprint)
			}
			crashes[server] = crash
		}
	}
	return crashes
}

// ContainsAll reports whether parts contains all of others.
func ContainsAll(parts, others []Fingerprint) bool {
	return !slices.ContainsFunc(others, func(other Fingerprint) bool { return !slices.Contains(parts, other) })
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
