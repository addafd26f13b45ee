package crash

import (
	"maps"
	"slices"
	"time"
)

// expiryInterval is the least time between two sweeps for expired suspicions.
const expiryInterval = 10 * time.Second

// suspects stores the suspicions of a bounded number of requests and of as many parts. It
// is not safe for concurrent use.
type suspects struct {
	maxSubjects int
	bySubject   map[Subject]*suspect
	// parts counts the parts in bySubject.
	parts      int
	lastExpiry time.Time
}

// suspect is what is known of one subject that is suspected of a crash.
type suspect struct {
	part bool
	// servers maps each server that ended while it ran the subject to the time at
	// which that was found.
	servers map[string]time.Time
	// lastCrash is the latest of these times.
	lastCrash time.Time
	// clearedAt is when the request or a prompt with the part was last known to be
	// answered.
	clearedAt time.Time
	// shared reports whether all entries need the suspicions.
	shared bool
}

func newSuspects(maxSubjects int) suspects {
	return suspects{maxSubjects: maxSubjects, bySubject: map[Subject]*suspect{}}
}

// add stores a suspicion and reports whether it is new. If there are too many subjects,
// it evicts one of the same kind.
func (suspects *suspects) add(suspicion Suspicion) bool {
	subject := suspicion.Subject()
	known, found := suspects.bySubject[subject]
	if !found {
		if suspects.len(subject.Part) >= suspects.maxSubjects {
			suspects.evict(subject.Part)
		}
		known = &suspect{part: subject.Part, servers: map[string]time.Time{}}
		suspects.bySubject[subject] = known
		if subject.Part {
			suspects.parts++
		}
	}
	if suspicion.Cleared {
		return known.clear(suspicion.At)
	}
	if _, seen := known.servers[suspicion.Server]; seen || !suspicion.At.After(known.clearedAt) {
		return false
	}
	known.servers[suspicion.Server] = suspicion.At
	if suspicion.At.After(known.lastCrash) {
		known.lastCrash = suspicion.At
	}
	return true
}

// len returns the number of parts or of requests.
func (suspects *suspects) len(parts bool) int {
	if parts {
		return suspects.parts
	}
	return len(suspects.bySubject) - suspects.parts
}

// clear drops the suspicions up to a moment at which the subject was answered. It reports whether that is news.
func (suspect *suspect) clear(at time.Time) bool {
	if !at.After(suspect.clearedAt) {
		return false
	}
	suspect.clearedAt = at
	maps.DeleteFunc(suspect.servers, func(_ string, crashedAt time.Time) bool { return !crashedAt.After(at) })
	return true
}

// crashes returns the times of the crashes that count, in order. Of servers that ended
// together while they ran a part, only the first counts.
func (suspect *suspect) crashes() []time.Time {
	times := slices.SortedFunc(maps.Values(suspect.servers), time.Time.Compare)
	if !suspect.part {
		return times
	}
	counted := times[:0]
	for _, at := range times {
		if len(counted) == 0 || at.Sub(counted[len(counted)-1]) >= commonCauseTime {
			counted = append(counted, at)
		}
	}
	return counted
}

// quarantined reports whether a subject has crashed enough servers.
func (suspects *suspects) quarantined(subject Subject) bool {
	known, found := suspects.bySubject[subject]
	return found && len(known.servers) >= QuarantineThreshold && len(known.crashes()) >= QuarantineThreshold
}

// count returns how many servers have ended while they ran a subject.
func (suspects *suspects) count(subject Subject) int {
	known, found := suspects.bySubject[subject]
	if !found {
		return 0
	}
	return len(known.servers)
}

// all returns the suspicions of every subject that at least minServers servers ran when
// they ended, or that all entries need.
func (suspects *suspects) all(minServers int) []Suspicion {
	var suspicions []Suspicion
	for subject, known := range suspects.bySubject {
		if known.shared || len(known.servers) >= minServers {
			suspicions = append(suspicions, suspects.suspicions(subject)...)
		}
	}
	return suspicions
}

// suspicions returns the suspicions of one subject, and when it was cleared.
func (suspects *suspects) suspicions(subject Subject) []Suspicion {
	known, found := suspects.bySubject[subject]
	if !found {
		return nil
	}
	suspicions := make([]Suspicion, 0, len(known.servers)+1)
	for server, at := range known.servers {
		suspicions = append(suspicions, Suspicion{Fingerprint: subject.Fingerprint, Part: subject.Part, Server: server, At: at})
	}
	if !known.clearedAt.IsZero() {
		suspicions = append(suspicions, Suspicion{Fingerprint: subject.Fingerprint, Part: subject.Part, Cleared: true, At: known.clearedAt})
	}
	return suspicions
}

// expire drops suspicions older than [SuspicionLifetime] and returns the subjects whose
// quarantine has ended.
func (suspects *suspects) expire(now time.Time) []Subject {
	if now.Sub(suspects.lastExpiry) < expiryInterval {
		return nil
	}
	suspects.lastExpiry = now
	var released []Subject
	for subject, known := range suspects.bySubject {
		quarantined := suspects.quarantined(subject)
		maps.DeleteFunc(known.servers, func(_ string, at time.Time) bool { return now.Sub(at) > SuspicionLifetime })
		if quarantined && !suspects.quarantined(subject) {
			released = append(released, subject)
		}
		if len(known.servers) == 0 && now.Sub(known.clearedAt) > SuspicionLifetime {
			suspects.remove(subject)
		}
	}
	return released
}

// evict drops the request or part with the fewest servers, and among those the one whose
// last crash is the oldest.
func (suspects *suspects) evict(parts bool) {
	var evicted Subject
	var weakest *suspect
	for subject, known := range suspects.bySubject {
		if subject.Part != parts {
			continue
		}
		if weakest == nil || len(known.servers) < len(weakest.servers) ||
			(len(known.servers) == len(weakest.servers) && known.lastCrash.Before(weakest.lastCrash)) {
			evicted, weakest = subject, known
		}
	}
	suspects.remove(evicted)
}

func (suspects *suspects) remove(subject Subject) {
	delete(suspects.bySubject, subject)
	if subject.Part {
		suspects.parts--
	}
}
