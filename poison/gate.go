package poison

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Gate decides which requests may run together on one backend server. It is not
// safe for concurrent use.
type Gate struct {
	server  names.BackendServer
	tracker *Tracker
	running map[Fingerprint]int
	total   int
	// suspectRuns is set while a suspect runs, alone.
	suspectRuns     bool
	waitingSuspects int
	// waitingSince is when the first waiting suspect arrived, or when a suspect
	// last finished, if that was later.
	waitingSince time.Time
}

// GateConfig configures a [Gate].
type GateConfig struct {
	Server  names.BackendServer
	Tracker *Tracker
}

// NewGate returns a gate with nothing running.
func NewGate(config GateConfig) *Gate {
	return &Gate{server: config.Server, tracker: config.Tracker, running: map[Fingerprint]int{}}
}

// Decision is the result of [Gate.Admit]. It is sealed: [Admit], [Wait],
// [RefuseHere] and [Refuse] implement it.
type Decision interface{ decision() }

// Admit lets the request run. [Gate.Finish] must follow when it ends.
type Admit struct {
	// Alone reports whether nothing else is admitted until the request ends.
	Alone bool
}

// Wait keeps the request waiting for this server. A suspect waits until nothing
// else runs, any other request until suspects have run.
type Wait struct {
	// Suspect reports whether the request is a suspect, for which
	// [Gate.AddWaitingSuspect] is to be called.
	Suspect bool
}

// RefuseHere refuses the request on this server only, as not run.
type RefuseHere struct{ Avoid []names.BackendServer }

// Refuse refuses the request on every server, as not run.
type Refuse struct {
	// Final reports whether the request is quarantined, not only deferred.
	Final bool
	Until time.Time
}

func (Admit) decision()      {}
func (Wait) decision()       {}
func (RefuseHere) decision() {}
func (Refuse) decision()     {}

// Admit decides whether a request may run now. It is called right before the
// request is sent to the server.
func (gate *Gate) Admit(now time.Time, fingerprint Fingerprint) Decision {
	switch verdict := gate.tracker.Classify(now, fingerprint).(type) {
	case Quarantined:
		return Refuse{Final: true, Until: verdict.Until}
	case Deferred:
		return Refuse{Until: verdict.Until}
	case Suspect:
		return gate.admitSuspect(fingerprint, verdict)
	default:
		if gate.suspectRuns || gate.suspectOverdue(now) {
			return Wait{}
		}
		gate.start(fingerprint, false)
		return Admit{}
	}
}

func (gate *Gate) admitSuspect(fingerprint Fingerprint, suspect Suspect) Decision {
	for _, server := range suspect.Avoid {
		if server == gate.server {
			return RefuseHere(suspect)
		}
	}
	if gate.total > 0 {
		return Wait{Suspect: true}
	}
	gate.start(fingerprint, true)
	return Admit{Alone: true}
}

func (gate *Gate) start(fingerprint Fingerprint, alone bool) {
	gate.running[fingerprint]++
	gate.total++
	gate.suspectRuns = alone
}

// Finish records that a request ended without a crash of the server. If the
// request completed, a suspect is cleared.
func (gate *Gate) Finish(now time.Time, fingerprint Fingerprint, completed bool) {
	if gate.running[fingerprint] == 0 {
		return
	}
	gate.running[fingerprint]--
	if gate.running[fingerprint] == 0 {
		delete(gate.running, fingerprint)
	}
	gate.total--
	if gate.suspectRuns {
		gate.suspectRuns, gate.waitingSince = false, now
		if completed {
			gate.tracker.RecordCompletion(now, fingerprint)
		}
	}
}

// AddWaitingSuspect records that a suspect waits; [Gate.RemoveWaitingSuspect]
// must follow. After [maxSuspectWait] no other new request is admitted ahead of
// it.
func (gate *Gate) AddWaitingSuspect(now time.Time) {
	if gate.waitingSuspects == 0 {
		gate.waitingSince = now
	}
	gate.waitingSuspects++
}

// RemoveWaitingSuspect records that a suspect no longer waits.
func (gate *Gate) RemoveWaitingSuspect() { gate.waitingSuspects-- }

// suspectOverdue reports whether suspects have waited for [maxSuspectWait]. The
// time starts again when a suspect ends, so that other requests run between two
// suspects.
func (gate *Gate) suspectOverdue(now time.Time) bool {
	return gate.waitingSuspects > 0 && now.Sub(gate.waitingSince) >= maxSuspectWait
}

// RecordCrash records that the server crashed, which ended the run
// identified by boot. All requests that were running become suspects.
func (gate *Gate) RecordCrash(now time.Time, boot string) Crash {
	crash := Crash{ID: CrashID{Server: gate.server, Boot: boot}, At: now}
	for fingerprint := range gate.running {
		crash.Running = append(crash.Running, fingerprint)
	}
	clear(gate.running)
	gate.total, gate.suspectRuns = 0, false
	gate.tracker.RecordCrash(now, crash)
	return crash
}
