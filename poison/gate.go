package poison

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Gate decides at one backend server which requests may run together. It is
// not safe for concurrent use.
type Gate struct {
	server  names.BackendServer
	book    *Book
	running map[Fingerprint]int
	total   int
	// alone is set while a suspect runs.
	alone bool
	// waiting counts suspects that wait, since waitingSince.
	waiting      int
	waitingSince time.Time
}

// GateConfig carries what a [Gate] is built from.
type GateConfig struct {
	Server names.BackendServer
	Book   *Book
}

// NewGate returns a gate with nothing running.
func NewGate(config GateConfig) *Gate {
	return &Gate{server: config.Server, book: config.Book, running: map[Fingerprint]int{}}
}

// Decision is what a [Gate] answers. It is sealed: [Enter], [Wait], [Elsewhere]
// and [Refuse] implement it.
type Decision interface{ decision() }

// Enter lets the request run; [Gate.Leave] must follow.
type Enter struct {
	// Alone tells that nothing else runs until it leaves.
	Alone bool
}

// Wait keeps the request queued here: a suspect waits for the server to be
// empty, all others for a suspect to end.
type Wait struct {
	// Suspect tells that the request is one; [Gate.Expect] makes room for it.
	Suspect bool
}

// Elsewhere refuses the request at this server only, as not run.
type Elsewhere struct{ Avoid []names.BackendServer }

// Refuse refuses the request at every server, as not run.
type Refuse struct {
	// Final tells that the request is quarantined, not only held.
	Final bool
	Until time.Time
}

func (Enter) decision()     {}
func (Wait) decision()      {}
func (Elsewhere) decision() {}
func (Refuse) decision()    {}

// Enter decides on a request. Ask right before the request leaves for the
// server.
func (gate *Gate) Enter(now time.Time, fingerprint Fingerprint) Decision {
	switch verdict := gate.book.Judge(now, fingerprint).(type) {
	case Quarantined:
		return Refuse{Final: true, Until: verdict.Until}
	case Deferred:
		return Refuse{Until: verdict.Until}
	case Suspect:
		return gate.enterSuspect(fingerprint, verdict)
	default:
		if gate.alone || gate.makesRoom(now) {
			return Wait{}
		}
		gate.enter(fingerprint, false)
		return Enter{}
	}
}

func (gate *Gate) enterSuspect(fingerprint Fingerprint, suspect Suspect) Decision {
	for _, server := range suspect.Avoid {
		if server == gate.server {
			return Elsewhere(suspect)
		}
	}
	if gate.total > 0 {
		return Wait{Suspect: true}
	}
	gate.enter(fingerprint, true)
	return Enter{Alone: true}
}

func (gate *Gate) enter(fingerprint Fingerprint, alone bool) {
	gate.running[fingerprint]++
	gate.total++
	gate.alone = alone
}

// Leave tells that a request ended at a server that lives on. Whole tells that
// it ended by itself, which clears a suspect.
func (gate *Gate) Leave(now time.Time, fingerprint Fingerprint, whole bool) {
	if gate.running[fingerprint] == 0 {
		return
	}
	gate.running[fingerprint]--
	if gate.running[fingerprint] == 0 {
		delete(gate.running, fingerprint)
	}
	gate.total--
	if gate.alone {
		gate.alone, gate.waitingSince = false, now
		if whole {
			gate.book.Completed(now, fingerprint)
		}
	}
}

// Expect tells that a suspect waits; [Gate.Unexpect] must follow. Once one has
// waited for a while, nothing new enters before it.
func (gate *Gate) Expect(now time.Time) {
	if gate.waiting == 0 {
		gate.waitingSince = now
	}
	gate.waiting++
}

// Unexpect tells that a suspect waits no more.
func (gate *Gate) Unexpect() { gate.waiting-- }

// makesRoom tells that a suspect has waited for long. The time counts anew from
// the end of each suspect, so that others run between two.
func (gate *Gate) makesRoom(now time.Time) bool {
	return gate.waiting > 0 && now.Sub(gate.waitingSince) >= suspectPatience
}

// Crashed tells that the server's start named boot ended; everything that ran
// is a suspect from now on.
func (gate *Gate) Crashed(now time.Time, boot string) Crash {
	crash := Crash{ID: CrashID{Server: gate.server, Boot: boot}, At: now}
	for fingerprint := range gate.running {
		crash.Running = append(crash.Running, fingerprint)
	}
	clear(gate.running)
	gate.total, gate.alone = 0, false
	gate.book.Crashed(now, crash)
	return crash
}
