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
	// released are the subjects whose quarantine has ended since the last call of expire.
	released []Subject
}

// suspect is what is known of one subject that is suspected of a crash.
type suspect struct {
	// servers maps each server that ended while it ran the subject to what is known of
	// that.
	servers map[string]ending
	// lastCrash is when the last of them ended.
	lastCrash time.Time
	// clearedAt is when the request or a prompt with the part was last known to be
	// answered.
	clearedAt time.Time
	// shared reports whether all entries need the suspicions, and clearanceShared whether
	// they have been sent clearedAt.
	shared          bool
	clearanceShared bool
	// begun reports whether the part's quarantine has been reported to begin.
	begun bool
}

// ending is the end of a server.
type ending struct {
	// at is when it was found.
	at time.Time
	// settledAt is from when on it counts against a part, or zero if that is not set yet.
	settledAt time.Time
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
		known = &suspect{servers: map[string]ending{}}
		suspects.bySubject[subject] = known
		if subject.Part {
			suspects.parts++
		}
	}
	if suspicion.Cleared {
		return suspects.clear(subject, suspicion.At)
	}
	if _, seen := known.servers[suspicion.Server]; seen || !suspicion.At.After(known.clearedAt) {
		return false
	}
	known.servers[suspicion.Server] = ending{at: suspicion.At}
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

// clear drops the suspicions up to a moment at which the subject was answered. It reports
// whether that is news.
func (suspects *suspects) clear(subject Subject, at time.Time) bool {
	known := suspects.bySubject[subject]
	if !at.After(known.clearedAt) {
		return false
	}
	known.clearedAt = at
	suspects.drop(subject, func(ending ending) bool { return !ending.at.After(at) })
	return true
}

// drop drops those of a subject's suspicions for which obsolete returns true.
func (suspects *suspects) drop(subject Subject, obsolete func(ending ending) bool) {
	known := suspects.bySubject[subject]
	quarantined := known.begun || (!subject.Part && len(known.servers) >= QuarantineThreshold)
	maps.DeleteFunc(known.servers, func(_ string, ending ending) bool { return obsolete(ending) })
	if quarantined && len(known.servers) < QuarantineThreshold {
		known.begun = false
		suspects.released = append(suspects.released, subject)
	}
}

// crashes returns the times of a part's crashes that count, in order, and the number of
// servers that ended by them. Servers that ended together count as one crash.
func (suspect *suspect) crashes(now time.Time) ([]time.Time, int) {
	var times []time.Time
	for _, ending := range suspect.servers {
		if !ending.settledAt.IsZero() && !now.Before(ending.settledAt) {
			times = append(times, ending.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var counted []time.Time
	for _, at := range times {
		if len(counted) == 0 || at.Sub(counted[len(counted)-1]) >= commonCauseTime {
			counted = append(counted, at)
		}
	}
	return counted, len(times)
}

// settle has new suspicions of parts count after settleTime, and returns the parts whose
// quarantine has begun since the last call.
func (suspects *suspects) settle(now time.Time) []Subject {
	var begun []Subject
	for subject, known := range suspects.bySubject {
		if !subject.Part {
			continue
		}
		for server, ending := range known.servers {
			if ending.settledAt.IsZero() {
				ending.settledAt = now.Add(settleTime)
				known.servers[server] = ending
			}
		}
		if !known.begun && suspects.quarantined(subject, now) {
			known.begun = true
			begun = append(begun, subject)
		}
	}
	return begun
}

// quarantined reports whether a subject has crashed enough servers.
func (suspects *suspects) quarantined(subject Subject, now time.Time) bool {
	known, found := suspects.bySubject[subject]
	if !found || len(known.servers) < QuarantineThreshold {
		return false
	}
	if !subject.Part {
		return true
	}
	crashes, servers := known.crashes(now)
	return len(crashes) >= QuarantineThreshold || (len(crashes) > 1 && servers >= manyServers)
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
	for server, ending := range known.servers {
		suspicions = append(suspicions, Suspicion{Fingerprint: subject.Fingerprint, Part: subject.Part, Server: server, At: ending.at})
	}
	if !known.clearedAt.IsZero() {
		suspicions = append(suspicions, Suspicion{Fingerprint: subject.Fingerprint, Part: subject.Part, Cleared: true, At: known.clearedAt})
	}
	return suspicions
}

// expire drops suspicions older than [SuspicionLifetime] and returns the subjects whose
// quarantine has ended since the last call.
func (suspects *suspects) expire(now time.Time) []Subject {
	if now.Sub(suspects.lastExpiry) >= expiryInterval {
		suspects.lastExpiry = now
		for subject, known := range suspects.bySubject {
			suspects.drop(subject, func(ending ending) bool { return now.Sub(ending.at) > SuspicionLifetime })
			if len(known.servers) == 0 && now.Sub(known.clearedAt) > SuspicionLifetime {
				suspects.remove(subject)
			}
		}
	}
	released := suspects.released
	suspects.released = nil
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
