package poison

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Tracker records the crashes and clearances that one instance knows of. It is
// not safe for concurrent use. Merging is commutative, associative and idempotent
// as long as [Config.MaxCrashes] is not reached.
type Tracker struct {
	config     Config
	crashes    map[CrashID]Crash
	clearances map[clearanceKey]Clearance
	// crashesOf maps each fingerprint to the crashes in which it was running.
	crashesOf map[Fingerprint][]CrashID
	// serverCrashes counts the crashes of each server.
	serverCrashes map[names.BackendServer]int
}

// NewTracker returns a tracker without crashes.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		config: config.withDefaults(), crashes: map[CrashID]Crash{}, clearances: map[clearanceKey]Clearance{},
		crashesOf: map[Fingerprint][]CrashID{}, serverCrashes: map[names.BackendServer]int{},
	}
}

// RecordCrash stores crash and reports whether it was new. A crash that no
// request was running in is ignored.
func (tracker *Tracker) RecordCrash(now time.Time, crash Crash) bool {
	if _, known := tracker.crashes[crash.ID]; known || len(crash.Running) == 0 {
		return false
	}
	crash.Running = distinct(crash.Running)
	if len(crash.Running) > MaxRunning {
		crash.Running = crash.Running[:MaxRunning]
	}
	if crash.At.After(now) {
		// A clock that runs ahead must not prolong a quarantine.
		crash.At = now
	}
	tracker.crashes[crash.ID] = crash
	tracker.serverCrashes[crash.ID.Server]++
	for _, fingerprint := range crash.Running {
		tracker.crashesOf[fingerprint] = append(tracker.crashesOf[fingerprint], crash.ID)
	}
	tracker.prune(now)
	return true
}

func distinct(fingerprints []Fingerprint) []Fingerprint {
	seen := make(map[Fingerprint]bool, len(fingerprints))
	kept := make([]Fingerprint, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		if !seen[fingerprint] {
			seen[fingerprint] = true
			kept = append(kept, fingerprint)
		}
	}
	return kept
}

// RecordCompletion clears fingerprint of all recorded crashes, because it ran
// alone and completed.
func (tracker *Tracker) RecordCompletion(now time.Time, fingerprint Fingerprint) {
	tracker.exempt(now, fingerprint)
}

// Lift ends the quarantine of fingerprint at an operator's request.
func (tracker *Tracker) Lift(now time.Time, fingerprint Fingerprint) {
	tracker.exempt(now, fingerprint)
}

// DismissCrash clears every request of a presumed crash that did not happen.
func (tracker *Tracker) DismissCrash(now time.Time, id CrashID) {
	for _, fingerprint := range tracker.crashes[id].Running {
		clearance := Clearance{Crash: id, Fingerprint: fingerprint, At: now}
		tracker.clearances[clearance.key()] = clearance
	}
}

// exempt adds a clearance of each crash in which fingerprint was running.
func (tracker *Tracker) exempt(now time.Time, fingerprint Fingerprint) {
	for _, id := range tracker.crashesOf[fingerprint] {
		clearance := Clearance{Crash: id, Fingerprint: fingerprint, At: now}
		if _, known := tracker.clearances[clearance.key()]; !known {
			tracker.clearances[clearance.key()] = clearance
		}
	}
}

// Classify returns how to treat a request with fingerprint. A crash with several
// requests running doesn't show which of them caused it. A quarantine therefore
// takes at least two crashes, in one of which the fingerprint ran alone.
func (tracker *Tracker) Classify(now time.Time, fingerprint Fingerprint) Verdict {
	crashes := tracker.uncleared(now, fingerprint)
	evidence := tracker.evidence(now, fingerprint, crashes)
	switch {
	case len(crashes) == 0:
		return Clear{}
	case len(evidence) < quarantineCrashes:
		return Suspect{Avoid: crashedServers(crashes)}
	case anyRanAlone(evidence):
		// The quarantine ends when the second newest crash expires.
		return Quarantined{Until: evidence[len(evidence)-quarantineCrashes].At.Add(tracker.config.Retention)}
	}
	until := evidence[len(evidence)-1].At.Add(tracker.config.DeferDuration)
	if now.Before(until) {
		return Deferred{Until: until}
	}
	return Suspect{}
}

// uncleared returns the unexpired crashes in which fingerprint was running and
// of which it has not been cleared, oldest first.
func (tracker *Tracker) uncleared(now time.Time, fingerprint Fingerprint) []Crash {
	var crashes []Crash
	for _, id := range tracker.crashesOf[fingerprint] {
		crash := tracker.crashes[id]
		_, cleared := tracker.clearances[clearanceKey{crash: id, fingerprint: fingerprint}]
		if !cleared && !tracker.expired(now, crash.At) {
			crashes = append(crashes, crash)
		}
	}
	sort.Slice(crashes, func(i, j int) bool { return crashLess(crashes[i], crashes[j]) })
	return crashes
}

// evidence returns the crashes that count against fingerprint. It leaves out
// those of servers that also crash without it, and those in a wider outage.
func (tracker *Tracker) evidence(now time.Time, fingerprint Fingerprint, crashes []Crash) []Crash {
	var evidence []Crash
	for _, crash := range crashes {
		if !tracker.serverFailing(now, crash.ID.Server, fingerprint) && !tracker.inOutage(crash, fingerprint) {
			evidence = append(evidence, crash)
		}
	}
	return evidence
}

func anyRanAlone(crashes []Crash) bool {
	for _, crash := range crashes {
		if crash.ranAlone() {
			return true
		}
	}
	return false
}

func crashLess(a, b Crash) bool {
	if !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	if a.ID.Server != b.ID.Server {
		return a.ID.Server < b.ID.Server
	}
	return a.ID.Boot < b.ID.Boot
}

func crashedServers(crashes []Crash) []names.BackendServer {
	found := make([]names.BackendServer, 0, len(crashes))
	for _, crash := range crashes {
		found = append(found, crash.ID.Server)
	}
	return found
}

// serverFailing reports whether server also crashes without fingerprint, so that
// its crashes are no evidence.
func (tracker *Tracker) serverFailing(now time.Time, server names.BackendServer, fingerprint Fingerprint) bool {
	if tracker.serverCrashes[server] < failingServerCrashes+1 {
		return false
	}
	others := 0
	for _, crash := range tracker.crashes {
		if crash.ID.Server == server && !crash.includes(fingerprint) && !tracker.expired(now, crash.At) {
			others++
		}
	}
	return others >= failingServerCrashes
}

// inOutage reports whether many crashes without fingerprint happened within
// [outageWindow] of crash.
func (tracker *Tracker) inOutage(crash Crash, fingerprint Fingerprint) bool {
	if len(tracker.crashes) <= outageCrashes {
		return false
	}
	others := 0
	for _, other := range tracker.crashes {
		if other.At.Sub(crash.At).Abs() <= outageWindow && !other.includes(fingerprint) {
			others++
		}
	}
	return others >= outageCrashes
}

func (tracker *Tracker) expired(now, at time.Time) bool {
	return !now.Before(at.Add(tracker.config.Retention))
}

// prune removes expired crashes, the oldest crashes above the bound, and expired
// clearances of unknown crashes.
func (tracker *Tracker) prune(now time.Time) {
	for id, crash := range tracker.crashes {
		if tracker.expired(now, crash.At) {
			tracker.remove(id)
		}
	}
	if over := len(tracker.crashes) - tracker.config.MaxCrashes; over > 0 {
		for _, crash := range tracker.sortedCrashes()[:over] {
			tracker.remove(crash.ID)
		}
	}
	for key, clearance := range tracker.clearances {
		if _, known := tracker.crashes[key.crash]; !known && tracker.expired(now, clearance.At) {
			delete(tracker.clearances, key)
		}
	}
	tracker.pruneClearances()
}

// pruneClearances removes the oldest clearances above their bound.
func (tracker *Tracker) pruneClearances() {
	over := len(tracker.clearances) - clearancesPerCrash*tracker.config.MaxCrashes
	if over <= 0 {
		return
	}
	for _, clearance := range tracker.sortedClearances()[:over] {
		delete(tracker.clearances, clearance.key())
	}
}

func (tracker *Tracker) remove(id CrashID) {
	crash := tracker.crashes[id]
	delete(tracker.crashes, id)
	tracker.serverCrashes[id.Server]--
	if tracker.serverCrashes[id.Server] == 0 {
		delete(tracker.serverCrashes, id.Server)
	}
	for _, fingerprint := range crash.Running {
		tracker.unindex(fingerprint, id)
	}
}

func (tracker *Tracker) unindex(fingerprint Fingerprint, id CrashID) {
	var kept []CrashID
	for _, each := range tracker.crashesOf[fingerprint] {
		if each != id {
			kept = append(kept, each)
		}
	}
	if len(kept) == 0 {
		delete(tracker.crashesOf, fingerprint)
		return
	}
	tracker.crashesOf[fingerprint] = kept
}

func (tracker *Tracker) sortedCrashes() []Crash {
	crashes := make([]Crash, 0, len(tracker.crashes))
	for _, crash := range tracker.crashes {
		crashes = append(crashes, crash)
	}
	sort.Slice(crashes, func(i, j int) bool { return crashLess(crashes[i], crashes[j]) })
	return crashes
}

func (tracker *Tracker) sortedClearances() []Clearance {
	clearances := make([]Clearance, 0, len(tracker.clearances))
	for _, clearance := range tracker.clearances {
		clearances = append(clearances, clearance)
	}
	sort.Slice(clearances, func(i, j int) bool {
		a, b := clearances[i], clearances[j]
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		if a.Crash.Server != b.Crash.Server {
			return a.Crash.Server < b.Crash.Server
		}
		if a.Crash.Boot != b.Crash.Boot {
			return a.Crash.Boot < b.Crash.Boot
		}
		return string(a.Fingerprint[:]) < string(b.Fingerprint[:])
	})
	return clearances
}
