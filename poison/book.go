package poison

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Book is what one instance knows of crashes. It is not safe for concurrent
// use. Merging is commutative, associative and idempotent as long as the bound
// on crashes is not reached.
type Book struct {
	config  Config
	crashes map[CrashID]Crash
	excuses map[excuseKey]Excuse
	// index names the crashes of each fingerprint.
	index map[Fingerprint][]CrashID
	// byServer counts the crashes of each server.
	byServer map[names.BackendServer]int
}

// NewBook returns a book without crashes.
func NewBook(config Config) *Book {
	return &Book{
		config: config.withDefaults(), crashes: map[CrashID]Crash{}, excuses: map[excuseKey]Excuse{},
		index: map[Fingerprint][]CrashID{}, byServer: map[names.BackendServer]int{},
	}
}

// Crashed writes a crash down and tells whether it was new.
func (book *Book) Crashed(now time.Time, crash Crash) bool {
	if _, known := book.crashes[crash.ID]; known || len(crash.Running) == 0 {
		return false
	}
	crash.Running = distinct(crash.Running)
	if len(crash.Running) > MaxRunning {
		crash.Running = crash.Running[:MaxRunning]
	}
	if crash.At.After(now) {
		// A clock that is ahead must not prolong a quarantine.
		crash.At = now
	}
	book.crashes[crash.ID] = crash
	book.byServer[crash.ID.Server]++
	for _, fingerprint := range crash.Running {
		book.index[fingerprint] = append(book.index[fingerprint], crash.ID)
	}
	book.trim(now)
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

// Completed tells that fingerprint ran alone and ended whole, which clears it
// of the crashes so far.
func (book *Book) Completed(now time.Time, fingerprint Fingerprint) { book.excuse(now, fingerprint) }

// Lift ends the quarantine of fingerprint on an operator's word.
func (book *Book) Lift(now time.Time, fingerprint Fingerprint) { book.excuse(now, fingerprint) }

// Dismiss takes back a crash that was presumed and did not happen.
func (book *Book) Dismiss(now time.Time, id CrashID) {
	for _, fingerprint := range book.crashes[id].Running {
		excuse := Excuse{Crash: id, Fingerprint: fingerprint, At: now}
		book.excuses[excuse.key()] = excuse
	}
}

func (book *Book) excuse(now time.Time, fingerprint Fingerprint) {
	for _, id := range book.index[fingerprint] {
		excuse := Excuse{Crash: id, Fingerprint: fingerprint, At: now}
		if _, known := book.excuses[excuse.key()]; !known {
			book.excuses[excuse.key()] = excuse
		}
	}
}

// Judge returns what is to be done with a request of fingerprint. Only a crash
// in which it ran alone tells it from the others, so nothing is quarantined
// without one; a second crash of any kind is needed as well.
func (book *Book) Judge(now time.Time, fingerprint Fingerprint) Verdict {
	crashes := book.against(now, fingerprint)
	evidence := book.evidence(now, fingerprint, crashes)
	switch {
	case len(crashes) == 0:
		return Clear{}
	case len(evidence) < enoughCrashes:
		return Suspect{Avoid: servers(crashes)}
	case anyAlone(evidence):
		// The second newest crash ends the quarantine when it is forgotten.
		return Quarantined{Until: evidence[len(evidence)-enoughCrashes].At.Add(book.config.Memory)}
	}
	until := evidence[len(evidence)-1].At.Add(book.config.Hold)
	if now.Before(until) {
		return Deferred{Until: until}
	}
	return Suspect{}
}

// against returns the crashes in which fingerprint ran and that it was not
// excused from, oldest first.
func (book *Book) against(now time.Time, fingerprint Fingerprint) []Crash {
	var crashes []Crash
	for _, id := range book.index[fingerprint] {
		crash := book.crashes[id]
		_, excused := book.excuses[excuseKey{crash: id, fingerprint: fingerprint}]
		if !excused && !book.old(now, crash.At) {
			crashes = append(crashes, crash)
		}
	}
	sort.Slice(crashes, func(i, j int) bool { return before(crashes[i], crashes[j]) })
	return crashes
}

// evidence returns the crashes of servers that do not fail by themselves or in
// a wider failure.
func (book *Book) evidence(now time.Time, fingerprint Fingerprint, crashes []Crash) []Crash {
	var evidence []Crash
	for _, crash := range crashes {
		if !book.failing(now, crash.ID.Server, fingerprint) && !book.storm(crash, fingerprint) {
			evidence = append(evidence, crash)
		}
	}
	return evidence
}

func anyAlone(crashes []Crash) bool {
	for _, crash := range crashes {
		if crash.alone() {
			return true
		}
	}
	return false
}

func before(a, b Crash) bool {
	if !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	if a.ID.Server != b.ID.Server {
		return a.ID.Server < b.ID.Server
	}
	return a.ID.Boot < b.ID.Boot
}

func servers(crashes []Crash) []names.BackendServer {
	found := make([]names.BackendServer, 0, len(crashes))
	for _, crash := range crashes {
		found = append(found, crash.ID.Server)
	}
	return found
}

// failing tells that server crashes without fingerprint as well, so that its
// crashes are no evidence.
func (book *Book) failing(now time.Time, server names.BackendServer, fingerprint Fingerprint) bool {
	if book.byServer[server] < failingCrashes+1 {
		return false
	}
	others := 0
	for _, crash := range book.crashes {
		if crash.ID.Server == server && !crash.ran(fingerprint) && !book.old(now, crash.At) {
			others++
		}
	}
	return others >= failingCrashes
}

// storm tells that crash came with many others without fingerprint.
func (book *Book) storm(crash Crash, fingerprint Fingerprint) bool {
	if len(book.crashes) <= stormCrashes {
		return false
	}
	others := 0
	for _, other := range book.crashes {
		if other.At.Sub(crash.At).Abs() <= stormWindow && !other.ran(fingerprint) {
			others++
		}
	}
	return others >= stormCrashes
}

func (book *Book) old(now, at time.Time) bool { return !now.Before(at.Add(book.config.Memory)) }

// trim forgets what is old, and the oldest crashes above the bound.
func (book *Book) trim(now time.Time) {
	for id, crash := range book.crashes {
		if book.old(now, crash.At) {
			book.forget(id)
		}
	}
	if over := len(book.crashes) - book.config.MaxCrashes; over > 0 {
		for _, crash := range book.sorted()[:over] {
			book.forget(crash.ID)
		}
	}
	for key, excuse := range book.excuses {
		if _, known := book.crashes[key.crash]; !known && book.old(now, excuse.At) {
			delete(book.excuses, key)
		}
	}
	book.trimExcuses()
}

// trimExcuses drops the oldest excuses above their bound.
func (book *Book) trimExcuses() {
	over := len(book.excuses) - excusesPerCrash*book.config.MaxCrashes
	if over <= 0 {
		return
	}
	for _, excuse := range book.sortedExcuses()[:over] {
		delete(book.excuses, excuse.key())
	}
}

func (book *Book) forget(id CrashID) {
	crash := book.crashes[id]
	delete(book.crashes, id)
	book.byServer[id.Server]--
	if book.byServer[id.Server] == 0 {
		delete(book.byServer, id.Server)
	}
	for _, fingerprint := range crash.Running {
		book.unindex(fingerprint, id)
	}
}

func (book *Book) unindex(fingerprint Fingerprint, id CrashID) {
	var kept []CrashID
	for _, each := range book.index[fingerprint] {
		if each != id {
			kept = append(kept, each)
		}
	}
	if len(kept) == 0 {
		delete(book.index, fingerprint)
		return
	}
	book.index[fingerprint] = kept
}

func (book *Book) sorted() []Crash {
	crashes := make([]Crash, 0, len(book.crashes))
	for _, crash := range book.crashes {
		crashes = append(crashes, crash)
	}
	sort.Slice(crashes, func(i, j int) bool { return before(crashes[i], crashes[j]) })
	return crashes
}

func (book *Book) sortedExcuses() []Excuse {
	excuses := make([]Excuse, 0, len(book.excuses))
	for _, excuse := range book.excuses {
		excuses = append(excuses, excuse)
	}
	sort.Slice(excuses, func(i, j int) bool {
		a, b := excuses[i], excuses[j]
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
	return excuses
}
