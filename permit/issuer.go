package permit

import (
	"math"
	"slices"
	"time"
)

const (
	// probePerSecond is the least rate at which permits are issued, so that a server
	// that declares zero gets a request now and then, whose response may declare
	// another rate.
	probePerSecond = 0.1
	// burstSpan is the time whose permits may accumulate while nobody asks for them,
	// beside a first one and the reserve.
	burstSpan = 250 * time.Millisecond
	// maxReserve is the number of permits that are kept for requests that can go to no other
	// server. At low rates less is kept, so that other requests get some, too.
	maxReserve = 1
	// maxWait bounds how long an entry is told not to ask again. The rate may rise
	// meanwhile.
	maxWait = 4 * time.Second
	// Lifetime is how long a permit can be used, from when it was asked for.
	Lifetime = 500 * time.Millisecond
)

// Issuer issues the permits of one coordinator's term: for each server as many as it
// accepts requests, whichever entries ask for them. Permits of a former term can still
// be in use when a term begins, so the first one is issued after the time that it takes
// at the declared rate. It is not safe for concurrent use.
type Issuer struct {
	register *Register
	buckets  map[Server]*bucket
	// cold is what entries have said of cold servers.
	cold map[Server]Cold
	// begunAt is when the term began. For coldWindow from then, cold servers get no
	// permits, as those of a former term may still be in use.
	begunAt time.Time
}

// NewIssuer returns an issuer that knows no declarations.
func NewIssuer() *Issuer {
	return &Issuer{register: NewRegister(), buckets: map[Server]*bucket{}, cold: map[Server]Cold{}}
}

// Begin records when the term began. If it is not called, that is when the first permit
// is asked for.
func (issuer *Issuer) Begin(now time.Time) {
	if issuer.begunAt.IsZero() {
		issuer.begunAt = now
	}
}

// Register returns what servers have declared.
func (issuer *Issuer) Register() *Register { return issuer.register }

// Application is an application for a permit for one request.
type Application struct {
	// Statement is what the entry knows of the server's declaration.
	Statement Statement
	// Yields reports whether the request can go to another server. It leaves the reserve
	// to requests that cannot.
	Yields bool
	// Cold is what the entry knows of the server's cold time, or the zero value.
	Cold Cold
}

// Issue issues a permit for one request to a server. Part is the part of the rate that
// this coordinator may issue. If there is no permit left, Issue returns how long the
// entry has to wait. The waits of entries that apply at the same time are staggered by
// the rate.
func (issuer *Issuer) Issue(application Application, part float64, now time.Time) (time.Duration, bool) {
	server := application.Statement.Server
	issuer.register.Merge([]Statement{application.Statement})
	issuer.Begin(now)
	cold := issuer.mergeCold(server, application.Cold, now)
	if _, declared := issuer.register.Rate(server); !declared && !cold.active(now) {
		return 0, true
	}
	current, perSecond, most := issuer.bucket(server, cold, part, now)
	if opensAt := issuer.begunAt.Add(coldWindow); cold.active(now) && now.Before(opensAt) {
		current.restart(perSecond, opensAt)
		return current.book(0, &current.nextTurn, opensAt) + opensAt.Sub(now), false
	}
	current.refill(perSecond, now)
	kept := 0.0
	turn := &current.nextTurn
	if application.Yields && !cold.active(now) {
		kept, turn = min(perSecond, maxReserve), &current.nextYieldingTurn
	}
	if wait := current.windowWait(most, now); wait > 0 {
		return max(wait, current.book(kept, turn, now)), false
	}
	if current.take(kept) {
		if cold.active(now) {
			current.issued = append(current.issued, now)
		}
		return 0, true
	}
	return current.book(kept, turn, now), false
}

// Available returns how many permits for a cold server are left now.
func (issuer *Issuer) Available(server Server, cold Cold, part float64, now time.Time) int {
	issuer.Begin(now)
	cold = issuer.mergeCold(server, cold, now)
	current, perSecond, most := issuer.bucket(server, cold, part, now)
	if opensAt := issuer.begunAt.Add(coldWindow); now.Before(opensAt) {
		current.restart(perSecond, opensAt)
		return 0
	}
	current.refill(perSecond, now)
	if current.windowWait(most, now) > 0 {
		return 0
	}
	return min(int(current.level+levelRounding), most-len(current.issued))
}

// bucket returns the bucket of a server that declares a rate or is cold, the rate at which
// permits are issued and the largest number of them in any coldWindow.
func (issuer *Issuer) bucket(server Server, cold Cold, part float64, now time.Time) (current *bucket, perSecond float64, most int) {
	perSecond, most = math.Inf(1), math.MaxInt
	if limited, declared := issuer.register.Rate(server); declared {
		perSecond = max(limited.PerSecond, probePerSecond) * part
	}
	if cold.active(now) {
		var coldRate float64
		coldRate, most = cold.issueRate(part)
		perSecond = min(perSecond, coldRate)
	}
	current, found := issuer.buckets[server]
	if !found {
		current = &bucket{refilledAt: now, perSecond: perSecond}
		issuer.buckets[server] = current
	}
	return current, perSecond, most
}

// mergeCold returns what is known of a server's cold time after an entry has said what it
// knows. The last entry's end counts, as the cold time may end early.
func (issuer *Issuer) mergeCold(server Server, cold Cold, now time.Time) Cold {
	known := issuer.cold[server]
	switch {
	case !cold.active(now):
		return known
	case !known.active(now):
		known = cold
	default:
		known = Cold{PerSecond: min(known.PerSecond, cold.PerSecond), Until: cold.Until}
	}
	issuer.cold[server] = known
	return known
}

// Expire drops declarations that ended long ago, and those of servers that are not
// listed any more.
func (issuer *Issuer) Expire(listed func(Server) bool, now time.Time) {
	issuer.register.Expire(listed, now)
	for server, cold := range issuer.cold {
		if !cold.active(now) {
			delete(issuer.cold, server)
		}
	}
	for server := range issuer.buckets {
		if _, declared := issuer.register.Rate(server); !declared && !issuer.cold[server].active(now) {
			delete(issuer.buckets, server)
		}
	}
}

// bucket is a token bucket of permits.
type bucket struct {
	level      float64
	refilledAt time.Time
	perSecond  float64
	// strict lets no permits accumulate beside a first one.
	strict bool
	// issued are the times of the permits of the last coldWindow while the server is cold.
	issued []time.Time
	// nextTurn is when the permit is due that the next entry that applies in vain is told
	// to wait for; nextYieldingTurn is the same for requests that can go elsewhere.
	nextTurn         time.Time
	nextYieldingTurn time.Time
}

// restart empties the bucket, which is refilled from a later time on.
func (bucket *bucket) restart(perSecond float64, at time.Time) {
	bucket.level, bucket.refilledAt, bucket.perSecond = 0, at, perSecond
}

// refill adds the permits that have become due since the last refill, and sets the rate
// from now on.
func (bucket *bucket) refill(perSecond float64, now time.Time) {
	if now.After(bucket.refilledAt) {
		bucket.level += now.Sub(bucket.refilledAt).Seconds() * bucket.perSecond
		bucket.refilledAt = now
	}
	bucket.perSecond = perSecond
	bucket.level = min(bucket.level, 1+min(bucket.perSecond, maxReserve)+burstSpan.Seconds()*bucket.perSecond)
	if bucket.strict {
		bucket.level = min(bucket.level, 1)
	}
}

// levelRounding covers the rounding errors of levels.
const levelRounding = 1e-6

// take takes a permit if kept ones are left, and reports whether it did. Entries return
// when the next one is due, so a level that is too low only by rounding suffices.
func (bucket *bucket) take(kept float64) bool {
	if bucket.level < kept+1-levelRounding {
		return false
	}
	bucket.level--
	return true
}

// windowWait returns how long until fewer than most permits have been issued in the last
// coldWindow, or zero.
func (bucket *bucket) windowWait(most int, now time.Time) time.Duration {
	bucket.issued = slices.DeleteFunc(bucket.issued, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	if len(bucket.issued) < most {
		return 0
	}
	return bucket.issued[len(bucket.issued)-most].Add(coldWindow).Sub(now)
}

// book returns the time until the next permit, beside kept ones, that no other entry has
// been told to wait for, or maxWait if that is shorter.
func (bucket *bucket) book(kept float64, turn *time.Time, now time.Time) time.Duration {
	if bucket.perSecond <= 0 {
		return maxWait
	}
	due := now.Add(bucket.timeFor(kept + 1 - bucket.level))
	if turn.Before(due) {
		*turn = due
	}
	wait := turn.Sub(now)
	if wait > maxWait {
		return maxWait
	}
	*turn = turn.Add(bucket.timeFor(1))
	return wait
}

// timeFor returns how long a number of permits takes to become due, at most maxWait.
func (bucket *bucket) timeFor(permits float64) time.Duration {
	return time.Duration(min(permits/bucket.perSecond, maxWait.Seconds()) * float64(time.Second))
}
