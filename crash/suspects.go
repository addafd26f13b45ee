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
	// withdrawn maps withdrawn suspicions to when they would have counted.
	withdrawn map[subjectServer]time.Time
	// counted are the unconfirmed suspicions that have begun to count since they were last
	// taken.
	counted []Suspicion
}

// subjectServer identifies a suspicion.
type subjectServer struct {
	subject Subject
	server  string
}

// suspect is what is known of one subject that is suspected of a crash.
type suspect struct {
	// servers maps each server that ended while it ran the subject to what is known of
	// that.
	servers map[string]ending
	// unconfirmed maps each server that broke off the subject and is not known to have
	// ended to what is known of that. These do not count yet.
	unconfirmed map[string]ending
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
	// countsAt is when it counts, or began to count, without a confirmation, and zero if it
	// is confirmed.
	countsAt time.Time
	// probe reports whether the server ran a probe of the part.
	probe bool
}

func newSuspects(maxSubjects int) suspects {
	return suspects{maxSubjects: maxSubjects, bySubject: map[Subject]*suspect{}, withdrawn: map[subjectServer]time.Time{}}
}

// total returns how many servers the subject is suspected for, also without confirmation.
func (suspect *suspect) total() int { return len(suspect.servers) + len(suspect.unconfirmed) }

// quarantinesRequest reports whether a request has crashed enough servers. The last one needs
// no confirmation, as a request that comes several times a second would crash more meanwhile.
// The others do: when many servers end at once, a frequent request that runs on several of
// them goes on being answered by others, which clears it.
func (suspect *suspect) quarantinesRequest() bool {
	return len(suspect.servers) >= QuarantineThreshold-1 && suspect.total() >= QuarantineThreshold
}

// add stores a suspicion and reports whether it is new. If there are too many subjects,
// it evicts one of the same kind.
func (suspects *suspects) add(suspicion Suspicion) bool {
	subject := suspicion.Subject()
	if suspicion.Withdrawn {
		return suspects.withdraw(suspicion)
	}
	unconfirmed := !suspicion.CountsAt.IsZero()
	if withdrawnUntil, found := suspects.withdrawn[subjectServer{subject: subject, server: suspicion.Server}]; found && unconfirmed && covers(withdrawnUntil, suspicion.CountsAt) {
		return false
	}
	known, found := suspects.bySubject[subject]
	if !found {
		if suspects.len(subject.Part) >= suspects.maxSubjects {
			suspects.evict(subject.Part)
		}
		known = &suspect{servers: map[string]ending{}, unconfirmed: map[string]ending{}}
		suspects.bySubject[subject] = known
		if subject.Part {
			suspects.parts++
		}
	}
	if suspicion.Cleared {
		return suspects.clear(subject, suspicion.At)
	}
	if !suspicion.At.After(known.clearedAt) {
		return false
	}
	return known.addEnding(suspicion)
}

// addEnding stores the end of a server, and reports whether it or what the suspicion says of
// it is new.
func (suspect *suspect) addEnding(suspicion Suspicion) bool {
	unconfirmed := !suspicion.CountsAt.IsZero()
	counted, counts := suspect.servers[suspicion.Server]
	waiting, waits := suspect.unconfirmed[suspicion.Server]
	probe := suspicion.Probe && !counted.probe && !waiting.probe
	switch {
	case counts && !unconfirmed && !counted.countsAt.IsZero():
		counted.countsAt, counted.probe = time.Time{}, counted.probe || probe
		suspect.servers[suspicion.Server] = counted
	case counts && probe:
		counted.probe = true
		suspect.servers[suspicion.Server] = counted
	case counts, waits && unconfirmed && !probe:
		return false
	case waits && unconfirmed:
		waiting.probe = true
		suspect.unconfirmed[suspicion.Server] = waiting
	case unconfirmed:
		suspect.unconfirmed[suspicion.Server] = ending{at: suspicion.At, countsAt: suspicion.CountsAt, probe: probe}
	default:
		suspect.count(suspicion.Server, ending{at: suspicion.At, probe: waiting.probe || probe})
	}
	return true
}

// count has the end of a server count from now on.
func (suspect *suspect) count(server string, ending ending) {
	delete(suspect.unconfirmed, server)
	suspect.servers[server] = ending
	if ending.at.After(suspect.lastCrash) {
		suspect.lastCrash = ending.at
	}
}

// withdraw drops a suspicion unless it is confirmed, and reports whether the withdrawal is
// new. It is stored for a while, also if the suspicion is not known yet.
func (suspects *suspects) withdraw(suspicion Suspicion) bool {
	subject := suspicion.Subject()
	key := subjectServer{subject: subject, server: suspicion.Server}
	if withdrawnUntil, known := suspects.withdrawn[key]; known && covers(withdrawnUntil, suspicion.CountsAt) {
		return false
	}
	if known, found := suspects.bySubject[subject]; found {
		if ending, counts := known.servers[suspicion.Server]; counts && ending.countsAt.IsZero() {
			return false
		}
		suspects.drop(subject, func(server string, ending ending) bool {
			return server == suspicion.Server && covers(suspicion.CountsAt, ending.countsAt)
		})
	}
	if len(suspects.withdrawn) < suspects.maxSubjects {
		suspects.withdrawn[key] = suspicion.CountsAt
	}
	return true
}

// covers reports whether the withdrawal of a suspicion that would have counted at
// withdrawnUntil is also that of one that counts at countsAt. The times differ by what
// messages take on their way. A later suspicion is about another broken response, after which
// the server may have ended.
func covers(withdrawnUntil, countsAt time.Time) bool {
	return !countsAt.After(withdrawnUntil.Add(UnconfirmedGrace))
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
	suspects.drop(subject, func(_ string, ending ending) bool { return !ending.at.After(at) })
	return true
}

// drop drops those of a subject's suspicions for which obsolete returns true.
func (suspects *suspects) drop(subject Subject, obsolete func(server string, ending ending) bool) {
	known := suspects.bySubject[subject]
	quarantined := known.begun || (!subject.Part && known.quarantinesRequest())
	maps.DeleteFunc(known.servers, obsolete)
	maps.DeleteFunc(known.unconfirmed, obsolete)
	if quarantined && len(known.servers) < QuarantineThreshold && (subject.Part || !known.quarantinesRequest()) {
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

// settle has unconfirmed suspicions count whose time has come, and new suspicions of parts
// after settleTime. It returns the requests whose quarantine has begun thereby, and the parts
// whose quarantine has begun since the last call.
func (suspects *suspects) settle(now time.Time) []Subject {
	var begun []Subject
	for subject, known := range suspects.bySubject {
		former := known.quarantinesRequest()
		for server, ending := range known.unconfirmed {
			if !now.Before(ending.countsAt) {
				known.count(server, ending)
				suspects.counted = append(suspects.counted, ending.suspicion(subject, server))
			}
		}
		if !subject.Part {
			if !former && known.quarantinesRequest() {
				begun = append(begun, subject)
			}
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

// suspicion returns the suspicion of the end of a server under a subject.
func (ending ending) suspicion(subject Subject, server string) Suspicion {
	return Suspicion{
		Fingerprint: subject.Fingerprint, Part: subject.Part, Server: server,
		At: ending.at, CountsAt: ending.countsAt, Probe: ending.probe,
	}
}

// takeCounted returns the unconfirmed suspicions that have begun to count since the last
// call.
func (suspects *suspects) takeCounted() []Suspicion {
	counted := suspects.counted
	suspects.counted = nil
	return counted
}

// counts reports whether a suspicion that is stored counts already.
func (suspects *suspects) counts(suspicion Suspicion) bool {
	known, found := suspects.bySubject[suspicion.Subject()]
	if !found {
		return false
	}
	_, counts := known.servers[suspicion.Server]
	return counts
}

// total returns how many servers a subject is suspected for, also without confirmation.
func (suspects *suspects) total(subject Subject) int {
	known, found := suspects.bySubject[subject]
	if !found {
		return 0
	}
	return known.total()
}

// quarantined reports whether a subject has crashed enough servers.
func (suspects *suspects) quarantined(subject Subject, now time.Time) bool {
	known, found := suspects.bySubject[subject]
	switch {
	case !found:
		return false
	case !subject.Part:
		return known.quarantinesRequest()
	case len(known.servers) < QuarantineThreshold:
		return false
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
// they ended or broke it off, or that all entries need, and the withdrawals.
func (suspects *suspects) all(minServers int) []Suspicion {
	var suspicions []Suspicion
	for subject, known := range suspects.bySubject {
		if known.shared || known.total() >= minServers {
			suspicions = append(suspicions, suspects.suspicions(subject)...)
		}
	}
	for key, countsAt := range suspects.withdrawn {
		suspicions = append(suspicions, Suspicion{Fingerprint: key.subject.Fingerprint, Part: key.subject.Part, Server: key.server, At: countsAt, CountsAt: countsAt, Withdrawn: true})
	}
	return suspicions
}

// suspicions returns the suspicions of one subject, and when it was cleared.
func (suspects *suspects) suspicions(subject Subject) []Suspicion {
	known, found := suspects.bySubject[subject]
	if !found {
		return nil
	}
	suspicions := make([]Suspicion, 0, known.total()+1)
	for _, endings := range []map[string]ending{known.servers, known.unconfirmed} {
		for server, ending := range endings {
			suspicions = append(suspicions, ending.suspicion(subject, server))
		}
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
			suspects.drop(subject, func(_ string, ending ending) bool { return now.Sub(ending.at) > SuspicionLifetime })
			if known.total() == 0 && now.Sub(known.clearedAt) > SuspicionLifetime {
				suspects.remove(subject)
			}
		}
		maps.DeleteFunc(suspects.withdrawn, func(_ subjectServer, countsAt time.Time) bool { return now.Sub(countsAt) > withdrawnLifetime })
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
		if weakest == nil || known.total() < weakest.total() ||
			(known.total() == weakest.total() && known.lastCrash.Before(weakest.lastCrash)) {
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
